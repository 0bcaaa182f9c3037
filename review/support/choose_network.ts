import { once } from "node:events";
import { createServer } from "node:net";

const ATTEMPTS = 50;

/** Returns the first three parts of a loopback network with free `ports`. */
export async function chooseNetwork(ports: readonly number[]): Promise<string> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const network = `127.${100 + Math.floor(part() / 2)}.${part()}`;
    if (await isFree(`${network}.1`, ports)) return network;
  }
  throw new Error("no free loopback network");
}

async function isFree(host: string, ports: readonly number[]) {
  for (const port of ports) {
    const server = createServer();
    try {
      server.listen(port, host);
      await once(server, "listening");
    } catch {
      return false;
    } finally {
      server.close();
    }
  }
  return true;
}
