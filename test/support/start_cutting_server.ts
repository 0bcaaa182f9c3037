import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

/**
 * Starts a server that answers the last of `count` requests on a connection
 * with a part of a head and then finishes, and those before with `complete`.
 */
export async function startCuttingServer(
  { complete, part, finish, count }: {
    complete: string;
    part: string;
    finish: (socket: Socket, part: string) => void;
    count: number;
  },
): Promise<{ address: string; close: () => void }> {
  const server = createServer((socket) => {
    let position = 0;
    socket.on("error", () => {});
    socket.on("data", () => {
      if (++position === count) finish(socket, part);
      else socket.write(complete);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, close: () => server.close() };
}
