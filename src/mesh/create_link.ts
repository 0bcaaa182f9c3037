import type { Socket } from "node:net";
import { createFrameReader } from "./create_frame_reader.ts";
import type { Link } from "./link.ts";
import type { Message } from "./message.ts";
import { messageCodec } from "./message_codec.ts";

// The largest body that the product takes, with room for its fields.
const MAX_FRAME_BYTES = 72 * 1024 * 1024;
// A first message holds an entry: names, addresses and some figures.
const MAX_FIRST_FRAME_BYTES = 16 * 1024;
const LENGTH_BYTES = 4;

/** Frames messages on a connected socket; `onClose` is called once. */
export function createLink(
  socket: Socket,
  { steadyTime, onMessage, onClose }: {
    steadyTime: () => number;
    onMessage: (message: Message) => void;
    onClose: (reason: string) => void;
  },
): Link {
  let closed = false;
  let maxFrameBytes = MAX_FIRST_FRAME_BYTES;
  let queue: Buffer[] = [];
  let queuedBytes = 0;
  const close = (reason: string) => {
    if (closed) return;
    closed = true;
    socket.destroy();
    onClose(reason);
  };
  const read = createFrameReader(() => maxFrameBytes, (frame) => {
    if (closed) return;
    const message = unpack(frame);
    if (message === null) close("unreadable message");
    else onMessage(message);
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
      if (!read(chunk)) close("oversized message");
    },
    close,
    trust() {
      maxFrameBytes = MAX_FRAME_BYTES;
    },
  };
  socket.setNoDelay(true);
  socket.on("error", ({ message }) => close(message));
  socket.on("close", () => close("connection closed"));
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
