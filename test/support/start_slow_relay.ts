import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";

type Address = { host: string; port: number };

const MS_PER_S = 1_000;

/**
 * Starts a TCP relay that forwards at most `bytesPerS` in each direction of a
 * connection and applies backpressure to the sender.
 */
export async function startSlowRelay(
  at: Address,
  to: Address,
  bytesPerS: number,
): Promise<{ close(): void }> {
  const sockets = new Set<Socket>();
  const forward = (source: Socket, destination: Socket) => {
    sockets.add(source);
    // Time from which the next chunk may be forwarded, in ms.
    let freeAt = 0;
    source.setNoDelay(true);
    source.on("data", (chunk) => {
      destination.write(chunk);
      const now = performance.now();
      freeAt = Math.max(now, freeAt) + chunk.length * MS_PER_S / bytesPerS;
      if (freeAt - now < 1) return;
      source.pause();
      setTimeout(() => source.resume(), freeAt - now);
    });
    source.on("end", () => destination.end());
    source.on("error", () => destination.destroy());
    source.on("close", () => {
      sockets.delete(source);
      destination.destroy();
    });
  };
  const server = createServer((caller) => {
    const target = connect(to);
    forward(caller, target);
    forward(target, caller);
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
