import type { Socket } from "node:net";

// A small body is copied behind its head, which costs less than a vector.
const JOIN_BYTES = 16 * 1024;

/** Writes a head and its body in one system call. */
export function writeMessage(socket: Socket, head: string, body: Buffer): void {
  if (body.length === 0) {
    socket.write(head, "latin1");
  } else if (body.length <= JOIN_BYTES) {
    const message = Buffer.allocUnsafe(head.length + body.length);
    message.write(head, 0, "latin1");
    body.copy(message, head.length);
    socket.write(message);
  } else {
    socket.cork();
    socket.write(head, "latin1");
    socket.write(body);
    socket.uncork();
  }
}
