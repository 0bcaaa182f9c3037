import type { Socket } from "node:net";
import process from "node:process";
import { createByteQueue } from "./create_byte_queue.ts";
import { createFrameReader } from "./create_frame_reader.ts";
import type { Link } from "./link.ts";
import type { Message } from "./message.ts";
import { messageCodec } from "./message_codec.ts";

// The largest body that the product takes, with room for its fields.
const MAX_FRAME_BYTES = 72 * 1024 * 1024;
// A first message holds an entry: names, addresses and some figures.
const MAX_FIRST_FRAME_BYTES = 16 * 1024;
// A link with more unsent bytes than this takes no further body; one body on
// top of it still leaves most of the memory of a daemon (250 MB) free.
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;
// Bytes of one write: a write that ends shows that the other side reads.
const WRITE_BYTES = 64 * 1024;
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
  const queue = createByteQueue();
  let scheduled = false;
  let writing: Buffer | null = null;
  const close = (reason: string) => {
    if (closed) return;
    closed = true;
    socket.destroy();
    queue.clear();
    link.blockedSince = null;
    onClose(reason);
  };
  const read = createFrameReader(() => maxFrameBytes, (frame) => {
    if (closed) return;
    const message = unpack(frame);
    if (message === null) close("unreadable message");
    else onMessage(message);
  });
  const flush = () => {
    scheduled = false;
    if (closed || writing !== null || queue.size() === 0) return;
    const bytes = queue.take(WRITE_BYTES);
    writing = bytes;
    socket.write(bytes, () => {
      writing = null;
      if (link.blockedSince !== null) link.aliveAt = steadyTime();
      link.blockedSince = null;
      flush();
    });
    // A write that the kernel took whole has ended by then.
    process.nextTick(() => {
      if (!closed && writing === bytes) link.blockedSince = steadyTime();
    });
  };
  const unsentBytes = () => queue.size() + (writing?.length ?? 0);
  const link: Link = {
    aliveAt: steadyTime(),
    blockedSince: null,
    send(message) {
      if (closed) return;
      if (!scheduled && writing === null) {
        scheduled = true;
        setImmediate(flush);
      }
      const payload = messageCodec.pack(message);
      const length = Buffer.allocUnsafe(LENGTH_BYTES);
      length.writeUInt32BE(payload.length);
      queue.push(length);
      queue.push(payload);
    },
    hasRoom: () => unsentBytes() <= MAX_UNSENT_BYTES,
    receive(chunk) {
      link.aliveAt = steadyTime();
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
