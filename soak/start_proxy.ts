import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";

type Address = { host: string; port: number };

/** A loopback TCP proxy whose traffic can be delayed, dropped or reset. */
export type Proxy = {
  /** Delay of each chunk, in ms. */
  delayMs: number;
  /** Direction in which bytes are dropped silently, the connection staying open. */
  dropped: "none" | "in" | "out" | "both";
  /** Resets all open connections. */
  reset(): void;
  close(): void;
};

/** Starts a proxy that listens at `at` and forwards to `to`. */
export async function startProxy(at: Address, to: Address): Promise<Proxy> {
  const sockets = new Set<Socket>();
  const proxy: Proxy = {
    delayMs: 0,
    dropped: "none",
    reset() {
      for (const socket of sockets) socket.resetAndDestroy();
    },
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  const forward = (
    origin: Socket,
    destination: Socket,
    direction: "in" | "out",
  ) => {
    sockets.add(origin);
    const relay = (act: () => void) => {
      // Once bytes are dropped, nothing more is forwarded, since TCP never delivers
      // a stream with a gap.
      if (proxy.dropped === direction || proxy.dropped === "both") lost = true;
      if (lost) return;
      if (proxy.delayMs === 0) act();
      else setTimeout(act, proxy.delayMs);
    };
    let lost = false;
    origin.setNoDelay(true);
    origin.on("data", (chunk) => relay(() => destination.write(chunk)));
    origin.on("end", () => relay(() => destination.end()));
    origin.on("error", () => destination.destroy());
    origin.on("close", () => {
      sockets.delete(origin);
      if (!lost) setTimeout(() => destination.destroy(), proxy.delayMs);
    });
  };
  const server = createServer((caller) => {
    const target = connect(to);
    forward(caller, target, "in");
    forward(target, caller, "out");
  });
  server.listen(at.port, at.host);
  await once(server, "listening");
  return proxy;
}
