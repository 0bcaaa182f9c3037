import type { Socket } from "node:net";

// A body up to this size is copied into one buffer with its head, which costs
// less than a vectored write.
const MAX_COPIED_BYTES = 16 * 1024;

/**
 * Writes a head and its body in one system call. `onSent` is called once the
 * socket has written both or the connection is lost.
 */
export function writeMessage(
  socket: Socket,
  head: string,
  body: Buffer,
  onSent?: () => void,
): void {
  if (body.length === 0) {
    socket.write(head, "latin1", onSent);
  } else if (body.length <= MAX_COPIED_BYTES) {
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
