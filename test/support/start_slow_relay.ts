import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";

type Address = { host: string; port: number };

const MS_PER_S = 1_000;

/**
 * Starts a TCP relay that passes at most so many bytes a second each way of a
 * connection, and reads no faster than that.
 */
export async function startSlowRelay(
  at: Address,
  to: Address,
  bytesPerS: number,
): Promise<{ close(): void }> {
  const sockets = new Set<Socket>();
  const pass = (from: Socket, onto: Socket) => {
    sockets.add(from);
    // Time from which the next bytes may pass, in ms.
    let freeAt = 0;
    from.setNoDelay(true);
    from.on("data", (chunk) => {
      onto.write(chunk);
      const now = performance.now();
      freeAt = Math.max(now, freeAt) + chunk.length * MS_PER_S / bytesPerS;
      if (freeAt - now < 1) return;
      from.pause();
      setTimeout(() => from.resume(), freeAt - now);
    });
    from.on("end", () => onto.end());
    from.on("error", () => onto.destroy());
    from.on("close", () => {
      sockets.delete(from);
      onto.destroy();
    });
  };
  const server = createServer((caller) => {
    const target = connect(to);
    pass(caller, target);
    pass(target, caller);
  });
  server.listen(at.port, at.host);
  await once(server, "listening");
  return {
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
