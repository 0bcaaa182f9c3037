import type { Socket } from "node:net";
import { createFrameReader } from "./create_frame_reader.ts";
import type { Link } from "./link.ts";
import type { Loss } from "./loss.ts";
import { lossOf } from "./loss_of.ts";
import type { Message } from "./message.ts";
import { messageCodec } from "./message_codec.ts";

// The largest body that the product takes, with room for its fields.
const MAX_FRAME_BYTES = 72 * 1024 * 1024;
const LENGTH_BYTES = 4;

/** Frames messages on a connected socket; `onClose` is called once. */
export function createLink(
  socket: Socket,
  { steadyTime, onMessage, onClose }: {
    steadyTime: () => number;
    onMessage: (message: Message) => void;
    onClose: (loss: Loss) => void;
  },
): Link {
  let closed = false;
  let queue: Buffer[] = [];
  let queuedBytes = 0;
  const close = (loss: Loss) => {
    if (closed) return;
    closed = true;
    socket.destroy();
    onClose(loss);
  };
  const read = createFrameReader(MAX_FRAME_BYTES, (frame) => {
    const message = unpack(frame);
    if (message === null) {
      close({ kind: "protocol", reason: "unreadable message" });
    } else if (!closed) onMessage(message);
  });
  const flush = () => {
    // One write of joined frames costs less than a vector of small ones.
    if (!closed) socket.write(Buffer.concat(queue, queuedBytes));
    queue = [];
    queuedBytes = 0;
  };
  const link: Link = {
    receivedAt: steadyTime(),
    send(message) {
      if (closed) return;
      if (queue.length === 0) setImmediate(flush);
      const payload = messageCodec.pack(message);
      const length = Buffer.allocUnsafe(LENGTH_BYTES);
      length.writeUInt32BE(payload.length);
      queue.push(length, payload);
      queuedBytes += LENGTH_BYTES + payload.length;
    },
    receive(chunk) {
      link.receivedAt = steadyTime();
      if (!read(chunk)) {
        close({ kind: "protocol", reason: "oversized message" });
      }
    },
    close: () => close({ kind: "given-up", reason: "closed" }),
  };
  socket.setNoDelay(true);
  socket.on("error", (fault) => close(lossOf(fault)));
  socket.on(
    "close",
    () => close({ kind: "closed", reason: "connection closed" }),
  );
  return link;
}

/** Returns null for bytes that aren't a message; the caller ends the link. */
function unpack(frame: Buffer): Message | null {
  try {
    const message = messageCodec.unpack(frame);
    return Array.isArray(message) ? message as Message : null;
  } catch {
    return null;
  }
}
