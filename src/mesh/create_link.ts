import type { Socket } from "node:net";
import process from "node:process";
import type { ByteBudget } from "../core/byte_budget.ts";
import { createByteReservation } from "../core/create_byte_reservation.ts";
import { createBodyAssembler } from "./create_body_assembler.ts";
import { createBodySendQueue } from "./create_body_send_queue.ts";
import { createByteQueue } from "./create_byte_queue.ts";
import { createFrameReader } from "./create_frame_reader.ts";
import type { Link } from "./link.ts";
import type { DisconnectCause } from "./disconnect_cause.ts";
import { classifySocketError } from "./classify_socket_error.ts";
import type { Message } from "./message.ts";
import { messageCodec } from "./message_codec.ts";

// The largest body that the product takes.
const MAX_BODY_BYTES = 64 * 1024 * 1024;
// Daemons of earlier versions send a body in one frame, with its fields.
const MAX_WHOLE_FRAME_BYTES = 72 * 1024 * 1024;
// The largest message without a body is a configuration.
const MAX_FRAME_BYTES = 8 * 1024 * 1024;
// A first message holds an entry: names, addresses and some figures.
const MAX_FIRST_FRAME_BYTES = 16 * 1024;
// A link with more unsent bytes than this takes no further body, also where
// the account of all links has room.
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;
// Bytes of one write: a write that ends shows that the other side reads.
const WRITE_BYTES = 64 * 1024;
// A larger body travels in pieces; with its frame, a piece fits one write.
const PIECE_BYTES = 63 * 1024;
// Pieces that may be under way: enough for a way of 10 ms at 200 Mbit/s, and
// few enough for a small message to overtake the rest of a body.
const WINDOW_BYTES = 4 * PIECE_BYTES;
// Bodies that take turns, so that the other side holds few unfinished ones.
const MOST_BODIES_SENT = 16;
// The same for those that come in, with room for another bound there.
const MOST_BODIES_TAKEN = 4 * MOST_BODIES_SENT;
const LENGTH_BYTES = 4;

/** Frames messages on a connected socket; `onClose` is called once. */
export function createLink(
  socket: Socket,
  { steadyTime, budget, expects, onRefused, onMessage, onClose }: {
    steadyTime: () => number;
    /** Account of what all links hold of bodies. */
    budget: ByteBudget;
    /** Whether the body of a stream is still of use. */
    expects: (stream: number) => boolean;
    /** The body of a stream finds no room; what has come of it is dropped. */
    onRefused: (stream: number) => void;
    onMessage: (message: Message) => void;
    onClose: (loss: DisconnectCause) => void;
  },
): Link {
  let closed = false;
  let maxFrameBytes = MAX_FIRST_FRAME_BYTES;
  let sendsPieces = false;
  const queue = createByteQueue();
  const outbox = createBodySendQueue({
    pieceBytes: PIECE_BYTES,
    windowBytes: WINDOW_BYTES,
    mostAtOnce: MOST_BODIES_SENT,
  });
  const inbox = createBodyAssembler({
    maxBodyBytes: MAX_BODY_BYTES,
    mostAtOnce: MOST_BODIES_TAKEN,
  });
  // Kept apart, so that large bodies never take the room of small ones.
  const queued = createByteReservation(budget);
  const inTurn = createByteReservation(budget);
  const joined = createByteReservation(budget);
  const unread = createByteReservation(budget);
  let scheduled = false;
  let writing: Buffer | null = null;
  // Bytes of the queue up to the end of the piece that waits there.
  let bytesToPiece = 0;
  let writeBlockedSince: number | null = null;
  let windowBlockedSince: number | null = null;

  const reject = (reason: string) => close({ kind: "protocol", reason });
  const close = (loss: DisconnectCause) => {
    if (closed) return;
    closed = true;
    socket.destroy();
    queue.clear();
    outbox.clear();
    inbox.clear();
    for (const hold of [queued, inTurn, joined, unread]) hold.resize(0);
    writeBlockedSince = null;
    windowBlockedSince = null;
    onClose(loss);
  };
  const read = createFrameReader(() => maxFrameBytes, (frame) => {
    if (closed) return;
    const message = unpack(frame);
    if (message === null) reject("unreadable message");
    else if (message[0] === "piece" && sendsPieces) takePiece(message);
    else if (message[0] === "piece-read") acknowledge(message);
    else onMessage(message);
  }, (bytes) => {
    // Pieces and smaller messages come and go with each read.
    if (closed || unread.resize(bytes > WRITE_BYTES ? bytes : 0)) return true;
    close({ kind: "given-up", reason: "no room" });
    return false;
  });
  const takePiece = (
    [, stream, total, piece]: Extract<Message, { 0: "piece" }>,
  ) => {
    const bytes = piece instanceof Uint8Array ? piece.length : 0;
    const isExpected = expects(stream);
    if (bytes === 0 || isExpected && !inbox.add(stream, total, piece)) {
      reject("malformed body");
      return;
    }
    link.send(["piece-read", bytes]);
    if (!isExpected || joined.resize(inbox.size())) return;
    link.dropBody(stream);
    onRefused(stream);
  };
  const acknowledge = ([, bytes]: Extract<Message, { 0: "piece-read" }>) => {
    if (!Number.isInteger(bytes)) {
      reject("unreadable message");
      return;
    }
    outbox.acknowledge(bytes);
    windowBlockedSince = null;
    schedule();
  };

  const enqueue = (message: Message) => {
    const payload = messageCodec.pack(message);
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32BE(payload.length);
    queue.push(length);
    queue.push(payload);
  };
  /** Queues one piece behind the messages that wait, and before later ones. */
  const enqueuePiece = () => {
    if (bytesToPiece > 0 || outbox.size() === 0) return;
    const message = outbox.next();
    if (message === null) windowBlockedSince ??= steadyTime();
    else {
      enqueue(message);
      inTurn.resize(outbox.size());
      bytesToPiece = queue.size();
    }
  };
  const schedule = () => {
    if (closed || scheduled || writing !== null) return;
    scheduled = true;
    setImmediate(flush);
  };
  const flush = () => {
    scheduled = false;
    if (closed || writing !== null) return;
    enqueuePiece();
    if (queue.size() === 0) return;
    const bytes = queue.take(WRITE_BYTES);
    bytesToPiece = Math.max(0, bytesToPiece - bytes.length);
    writing = bytes;
    socket.write(bytes, endWrite);
    // A write that the kernel took whole has ended by then.
    process.nextTick(noteBlockedWrite, bytes);
  };
  const endWrite = () => {
    writing = null;
    if (!closed) queued.resize(queue.size());
    if (writeBlockedSince !== null) link.lastActivityAt = steadyTime();
    writeBlockedSince = null;
    flush();
  };
  const noteBlockedWrite = (bytes: Buffer) => {
    if (!closed && writing === bytes) writeBlockedSince = steadyTime();
  };
  const unsentBytes = () => queue.size() + (writing?.length ?? 0);
  /** Queues a body where it fits into the bounds of this link and of all. */
  const queueBody: Link["sendBody"] = (stream, body, toMessage) => {
    const bytes = body.length;
    const inPieces = sendsPieces && bytes > PIECE_BYTES;
    const unsent = unsentBytes() + (inPieces ? outbox.size() : 0);
    if (bytes > 0 && unsent > MAX_UNSENT_BYTES) return false;
    if (inPieces) {
      if (!inTurn.resize(outbox.size() + bytes)) return false;
      outbox.add(stream, body, toMessage);
    } else {
      if (bytes > 0 && !queued.resize(unsentBytes() + bytes)) return false;
      enqueue(toMessage(body));
    }
    return true;
  };
  const link: Link = {
    lastActivityAt: steadyTime(),
    send(message) {
      if (closed) return;
      enqueue(message);
      schedule();
    },
    sendBody(stream, body, toMessage) {
      if (closed) return true;
      const fits = queueBody(stream, body, toMessage);
      schedule();
      return fits;
    },
    cancelBody(stream) {
      const cancelled = outbox.cancel(stream);
      inTurn.resize(outbox.size());
      if (outbox.size() === 0) windowBlockedSince = null;
      return cancelled;
    },
    takeBody(stream, last, total) {
      if (total !== undefined) {
        const body = inbox.finish(stream, last, total);
        joined.resize(inbox.size());
        return body;
      }
      return Buffer.from(last.buffer, last.byteOffset, last.byteLength);
    },
    dropBody(stream) {
      inbox.drop(stream);
      joined.resize(inbox.size());
    },
    idle: () => unsentBytes() + outbox.size() === 0,
    receive(chunk) {
      link.lastActivityAt = steadyTime();
      if (!read(chunk)) reject("oversized message");
    },
    close: (reason) => close({ kind: "given-up", reason }),
    reject,
    completeHandshake({ takesPieces }) {
      sendsPieces = takesPieces;
      maxFrameBytes = takesPieces ? MAX_FRAME_BYTES : MAX_WHOLE_FRAME_BYTES;
    },
    blockedSince: () => writeBlockedSince ?? windowBlockedSince,
    restartBlockedTimers() {
      if (writeBlockedSince !== null) writeBlockedSince = steadyTime();
      if (windowBlockedSince !== null) windowBlockedSince = steadyTime();
    },
  };
  socket.setNoDelay(true);
  socket.on("error", (fault) => close(classifySocketError(fault)));
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
