import { connect, createServer, type Socket } from "node:net";

/** A TCP relay in front of a listener. */
type TcpRelay = {
  /** Drops all further traffic without closing any connection. */
  cut(): void;
  close(): void;
};

/** Starts a TCP relay that can silently drop all traffic. */
export function startTcpRelay(
  at: { host: string; port: number },
  to: { host: string; port: number },
): Promise<TcpRelay> {
  const sockets = new Set<Socket>();
  let dropping = false;
  const forward = (source: Socket, destination: Socket) => {
    sockets.add(source);
    source.on("data", (chunk) => {
      if (!dropping) destination.write(chunk);
    });
    source.on("end", () => {
      if (!dropping) destination.end();
    });
    source.on("error", () => destination.destroy());
    source.on("close", () => sockets.delete(source));
  };
  const server = createServer({ allowHalfOpen: true }, (caller) => {
    const target = connect({ ...to, allowHalfOpen: true });
    forward(caller, target);
    forward(target, caller);
  });
  const relay: TcpRelay = {
    cut() {
      dropping = true;
    },
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  return new Promise((resolve) =>
    server.listen(at.port, at.host, () => resolve(relay))
  );
}
