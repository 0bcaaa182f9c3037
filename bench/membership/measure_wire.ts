import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { Agent } from "undici";
import { createControlClient } from "../../src/membership/create_control_client.ts";
import { createControlRouter } from "../../src/membership/create_control_router.ts";
import { createDirectory } from "../../src/membership/create_directory.ts";
import { startExchange } from "../../src/membership/start_exchange.ts";
import { createControlFetch } from "../../src/security/create_control_fetch.ts";
import { createControlHandler } from "../../src/security/create_control_handler.ts";
import { createVerifier } from "../../src/security/create_verifier.ts";
import { createSigner } from "../../src/security/create_signer.ts";

const RULES = { sequence: 123_456, digest: "0123456789abcdef0123456789abcdef" };
const KEY = "k".repeat(32);
const EXCHANGES = 2_000;

/**
 * Runs exchanges at rest over loopback, both sides in this process. Returns
 * the bytes of request and response on the connection, the bytes of both that
 * are not the JSON of the exchange, and the CPU of both sides together.
 */
export async function measureWire() {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const instance = "0123456789abcdef";
  const dataCentre = "data-centre-0";
  const directory = createDirectory({ address, dataCentre, instance }, 0);
  directory.updates.clear();
  const guard = createVerifier({ key: KEY, address, instance });
  const signer = createSigner({ key: KEY, address: "10.0.0.1:7001", instance });
  const dispatcher = new Agent();
  const fetch = createControlFetch({
    signer,
    dispatcher,
    timeoutMs: 10_000,
    expectedEpoch: () => `${instance}.0`,
  });
  const client = createControlClient({ fetch, slowFetch: fetch });
  const router = createControlRouter({
    directory,
    now: () => 1,
    rules: () => RULES,
    onPeerRules: () => {},
    probe: client.probe,
  }, {});
  const handler = createControlHandler({
    verifier: guard,
    router,
    log: () => {},
  });
  server.on("request", handler);
  const sockets: { bytesRead: number; bytesWritten: number }[] = [];
  server.on("connection", (socket) => sockets.push(socket));
  const request = startExchange(directory, { rules: RULES, partner: "none" });
  let json = 0;
  const run = async () => {
    const reply = await client.exchange(address, request);
    if (reply.kind !== "answered") throw new Error(reply.message);
    json += JSON.stringify(request).length + JSON.stringify(reply.value).length;
  };
  for (let count = 0; count < EXCHANGES; count++) await run();
  const before = process.cpuUsage();
  for (let count = 0; count < EXCHANGES; count++) await run();
  const { user, system } = process.cpuUsage(before);
  const total = 2 * EXCHANGES;
  const read = sockets.reduce((sum, { bytesRead }) => sum + bytesRead, 0);
  const written = sockets.reduce((sum, socket) => sum + socket.bytesWritten, 0);
  await dispatcher.destroy();
  server.close();
  return {
    requestBytes: read / total,
    responseBytes: written / total,
    framingBytes: (read + written - json) / total,
    cpuMs: (user + system) / 1_000 / EXCHANGES,
  };
}
