import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";

type Address = { host: string; port: number };

/** A proxy in front of the mesh port of one machine. */
export type MeshProxy = {
  /** Whether nothing passes between a machine, by its name, and this one. */
  isCut: (source: string) => boolean;
  close(): void;
};

const NAME = /sidecar-[a-z]+-\d+/;

/**
 * Starts a proxy that forwards connections to `to`. The first message of a
 * connection holds the name of the machine that opened it. While that machine
 * is cut off, nothing passes in either direction, and the connection neither
 * ends nor is reset; afterwards it stays silent, since bytes were lost.
 */
export async function startMeshProxy(
  at: Address,
  to: Address,
): Promise<MeshProxy> {
  const sockets = new Set<Socket>();
  const proxy: MeshProxy = {
    isCut: () => false,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  const server = createServer((caller) => {
    const target = connect(to);
    let source: string | null = null;
    let lost = false;
    const pass = (act: () => void) => {
      lost ||= source !== null && proxy.isCut(source);
      if (!lost) act();
    };
    caller.on("data", (chunk) => {
      source ??= NAME.exec(chunk.toString("latin1"))?.[0] ?? null;
      pass(() => target.write(chunk));
    });
    target.on("data", (chunk) => pass(() => caller.write(chunk)));
    for (const [one, other] of [[caller, target], [target, caller]] as const) {
      sockets.add(one);
      one.setNoDelay(true);
      one.on("error", () => {});
      one.on("close", () => {
        sockets.delete(one);
        pass(() => other.destroy());
        // The side that is cut off learns nothing; its own time-outs end it.
        if (lost && one === caller) target.destroy();
      });
    }
  });
  server.listen(at.port, at.host);
  await once(server, "listening");
  return proxy;
}
