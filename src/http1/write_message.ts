import type { Socket } from "node:net";

// A small body is copied behind its head, which costs less than a vector.
const JOIN_BYTES = 16 * 1024;

/**
 * Writes a head and its body in one system call; `onSent` is called once the
 * connection has taken them or is lost.
 */
export function writeMessage(
  socket: Socket,
  head: string,
  body: Buffer,
  onSent?: () => void,
): void {
  if (body.length === 0) {
    socket.write(head, "latin1", onSent);
  } else if (body.length <= JOIN_BYTES) {
    const message = Buffer.allocUnsafe(head.length + body.length);
    message.write(head, 0, "latin1");
    body.copy(message, head.length);
    socket.write(message, onSent);
  } else {
    socket.cork();
    socket.write(head, "latin1");
    socket.write(body, onSent);
    socket.uncork();
  }
}
