import { connect, createServer, type Socket } from "node:net";

/** A TCP relay in front of a listener. */
type TcpRelay = {
  /** From now on drops all traffic without closing any connection. */
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
  const pass = (from: Socket, onto: Socket) => {
    sockets.add(from);
    from.on("data", (chunk) => {
      if (!dropping) onto.write(chunk);
    });
    from.on("end", () => {
      if (!dropping) onto.end();
    });
    from.on("error", () => onto.destroy());
    from.on("close", () => sockets.delete(from));
  };
  const server = createServer({ allowHalfOpen: true }, (caller) => {
    const target = connect({ ...to, allowHalfOpen: true });
    pass(caller, target);
    pass(target, caller);
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
