import type { Socket } from "node:net";

/** Writes a head and its body in one system call. */
export function writeMessage(socket: Socket, head: string, body: Buffer): void {
  if (body.length === 0) {
    socket.write(head, "latin1");
    return;
  }
  socket.cork();
  socket.write(head, "latin1");
  socket.write(body);
  socket.uncork();
}
