import type { Socket } from "node:net";
import process from "node:process";
import type { ByteBudget } from "../core/byte_budget.ts";
import { createByteReservation } from "../core/create_byte_reservation.ts";
import { createBodyAssembler } from "./create_body_assembler.ts";
import { createBodySendQueue } from "./create_body_send_queue.ts";
import { createByteQueue } from "./create_byte_queue.ts";
import { createFrameReader } from "./create_frame_reader.ts";
import type { Link } from "./link.ts";
import type { InvalidMessage } from "./invalid_message.ts";
import type { DisconnectCause } from "./disconnect_cause.ts";
import { classifySocketError } from "./classify_socket_error.ts";
import type { Message } from "./message.ts";
import { messageCodec } from "./message_codec.ts";
import { readMessage } from "./read_message.ts";

// Largest body that a daemon accepts.
const MAX_BODY_BYTES = 64 * 1024 * 1024;
// Daemons of earlier versions send a whole body and its fields in one frame.
const MAX_WHOLE_FRAME_BYTES = 72 * 1024 * 1024;
// The largest message without a whole body is a configuration.
const MAX_FRAME_BYTES = 8 * 1024 * 1024;
// Before the handshake only an entry is expected: names, addresses, numbers.
const MAX_FIRST_FRAME_BYTES = 16 * 1024;
// A link with more unsent bytes than this accepts no further body, even if the
// memory budget of all links has room for it.
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;
// Maximum bytes per write. Writes are small, since a completed write shows that
// the peer is reading.
const WRITE_BYTES = 64 * 1024;
// Larger bodies are sent in pieces; a piece with its frame fits one write.
const PIECE_BYTES = 63 * 1024;
// Unacknowledged piece bytes: enough for a round trip of 10 ms at 200 Mbit/s,
// and few enough for a small message to overtake the rest of a body.
const WINDOW_BYTES = 4 * PIECE_BYTES;
// Bodies sent at a time, so that the peer holds few incomplete ones.
const MAX_BODIES_SENT = 16;
// Incomplete incoming bodies; allows for a peer with a higher send limit.
const MAX_BODIES_RECEIVED = 4 * MAX_BODIES_SENT;
const LENGTH_BYTES = 4;
const FLOW_CONTROL_KINDS: ReadonlySet<string> = new Set([
  "piece",
  "piece-read",
]);

/** Exchanges messages over a socket; `onClose` is called once. */
export function createLink(
  socket: Socket,
  {
    steadyTime,
    budget,
    expectsBody,
    onBodyRejected,
    onMessage,
    onInvalid,
    onClose,
  }: {
    steadyTime: () => number;
    /** Memory budget for the bodies of all links. */
    budget: ByteBudget;
    /** Whether pieces of a stream's body are still needed. */
    expectsBody: (stream: number) => boolean;
    /** A body exceeded the memory budget; its pieces have been discarded. */
    onBodyRejected: (stream: number) => void;
    onMessage: (message: Message) => void;
    /** A message was left out because it is invalid. */
    onInvalid: (message: InvalidMessage) => void;
    onClose: (cause: DisconnectCause) => void;
  },
): Link {
  let closed = false;
  let maxFrameBytes = MAX_FIRST_FRAME_BYTES;
  let usesPieces = false;
  const writeQueue = createByteQueue();
  const sendQueue = createBodySendQueue({
    pieceBytes: PIECE_BYTES,
    windowBytes: WINDOW_BYTES,
    maxConcurrentBodies: MAX_BODIES_SENT,
  });
  const assembler = createBodyAssembler({
    maxBodyBytes: MAX_BODY_BYTES,
    maxConcurrentBodies: MAX_BODIES_RECEIVED,
  });
  // Separate reservations, so that large bodies leave room for small ones:
  // `queued` for the write queue, `sending` for bodies sent in pieces,
  // `assembling` for bodies received in pieces, `buffered` for partial frames.
  const queued = createByteReservation(budget);
  const sending = createByteReservation(budget);
  const assembling = createByteReservation(budget);
  const buffered = createByteReservation(budget);
  let flushScheduled = false;
  let writing: Buffer | null = null;
  // Queued bytes up to the end of the queued piece; 0 if there is none.
  let bytesToPieceEnd = 0;
  let writeBlockedSince: number | null = null;
  let windowBlockedSince: number | null = null;

  const reject = (reason: string) => close({ kind: "protocol", reason });
  const close = (cause: DisconnectCause) => {
    if (closed) return;
    closed = true;
    socket.destroy();
    writeQueue.clear();
    sendQueue.clear();
    assembler.clear();
    for (const hold of [queued, sending, assembling, buffered]) hold.resize(0);
    writeBlockedSince = null;
    windowBlockedSince = null;
    onClose(cause);
  };
  const read = createFrameReader(() => maxFrameBytes, (frame) => {
    if (closed) return;
    const elements = unpack(frame);
    if (elements === null) {
      reject("malformed message");
      return;
    }
    const message = readMessage(elements);
    if (message.ok) receive(message.value);
    // Flow control can't continue without the missing count.
    else if (FLOW_CONTROL_KINDS.has(message.kind)) reject("malformed message");
    else onInvalid(message);
  }, (bytes) => {
    // Partial frames of pieces and smaller messages are not counted: they are
    // completed within a few reads.
    if (closed || buffered.resize(bytes > WRITE_BYTES ? bytes : 0)) return true;
    close({ kind: "given-up", reason: "memory budget exhausted" });
    return false;
  });
  const receive = (message: Message) => {
    if (message[0] === "piece" && usesPieces) receivePiece(message);
    else if (message[0] === "piece-read") acknowledge(message);
    else onMessage(message);
  };
  const receivePiece = (
    [, stream, total, piece]: Extract<Message, { 0: "piece" }>,
  ) => {
    const bytes = piece.length;
    const isExpected = expectsBody(stream);
    if (bytes === 0 || isExpected && !assembler.add(stream, total, piece)) {
      reject("malformed body");
      return;
    }
    link.send(["piece-read", bytes]);
    if (!isExpected || assembling.resize(assembler.size())) return;
    link.dropBody(stream);
    onBodyRejected(stream);
  };
  const acknowledge = ([, bytes]: Extract<Message, { 0: "piece-read" }>) => {
    sendQueue.acknowledge(bytes);
    windowBlockedSince = null;
    scheduleFlush();
  };

  const enqueue = (message: Message) => {
    const payload = messageCodec.pack(message);
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32BE(payload.length);
    writeQueue.push(length);
    writeQueue.push(payload);
  };
  /**
   * Queues the next piece, if none is queued. A single queued piece lets later
   * messages overtake the rest of a body.
   */
  const enqueuePiece = () => {
    if (bytesToPieceEnd > 0 || sendQueue.size() === 0) return;
    const message = sendQueue.next();
    if (message === null) windowBlockedSince ??= steadyTime();
    else {
      enqueue(message);
      sending.resize(sendQueue.size());
      bytesToPieceEnd = writeQueue.size();
    }
  };
  const scheduleFlush = () => {
    if (closed || flushScheduled || writing !== null) return;
    flushScheduled = true;
    setImmediate(flush);
  };
  const flush = () => {
    flushScheduled = false;
    if (closed || writing !== null) return;
    enqueuePiece();
    if (writeQueue.size() === 0) return;
    const bytes = writeQueue.take(WRITE_BYTES);
    bytesToPieceEnd = Math.max(0, bytesToPieceEnd - bytes.length);
    writing = bytes;
    socket.write(bytes, onWritten);
    // A write that the kernel accepts in full has completed by then.
    process.nextTick(checkBlockedWrite, bytes);
  };
  const onWritten = () => {
    writing = null;
    if (!closed) queued.resize(writeQueue.size());
    if (writeBlockedSince !== null) link.lastActivityAt = steadyTime();
    writeBlockedSince = null;
    flush();
  };
  const checkBlockedWrite = (bytes: Buffer) => {
    if (!closed && writing === bytes) writeBlockedSince = steadyTime();
  };
  const unsentBytes = () => writeQueue.size() + (writing?.length ?? 0);
  /** Queues a body if the limit of this link and the memory budget allow it. */
  const queueBody: Link["sendBody"] = (stream, body, buildMessage) => {
    const bytes = body.length;
    const inPieces = usesPieces && bytes > PIECE_BYTES;
    const unsent = unsentBytes() + (inPieces ? sendQueue.size() : 0);
    if (bytes > 0 && unsent > MAX_UNSENT_BYTES) return false;
    if (inPieces) {
      if (!sending.resize(sendQueue.size() + bytes)) return false;
      sendQueue.add(stream, body, buildMessage);
    } else {
      if (bytes > 0 && !queued.resize(unsentBytes() + bytes)) return false;
      enqueue(buildMessage(body));
    }
    return true;
  };
  const link: Link = {
    lastActivityAt: steadyTime(),
    send(message) {
      if (closed) return;
      enqueue(message);
      scheduleFlush();
    },
    sendBody(stream, body, buildMessage) {
      if (closed) return true;
      const accepted = queueBody(stream, body, buildMessage);
      scheduleFlush();
      return accepted;
    },
    cancelBody(stream) {
      const cancelled = sendQueue.cancel(stream);
      sending.resize(sendQueue.size());
      if (sendQueue.size() === 0) windowBlockedSince = null;
      return cancelled;
    },
    takeBody(stream, last, total) {
      if (total !== undefined) {
        const body = assembler.finish(stream, last, total);
        assembling.resize(assembler.size());
        return body;
      }
      return Buffer.from(last.buffer, last.byteOffset, last.byteLength);
    },
    dropBody(stream) {
      assembler.drop(stream);
      assembling.resize(assembler.size());
    },
    idle: () => unsentBytes() + sendQueue.size() === 0,
    receive(chunk) {
      link.lastActivityAt = steadyTime();
      if (!read(chunk)) reject("oversized message");
    },
    close: (reason) => close({ kind: "given-up", reason }),
    reject,
    completeHandshake({ takesPieces }) {
      usesPieces = takesPieces;
      maxFrameBytes = takesPieces ? MAX_FRAME_BYTES : MAX_WHOLE_FRAME_BYTES;
    },
    blockedSince: () => writeBlockedSince ?? windowBlockedSince,
    restartBlockedTimers() {
      if (writeBlockedSince !== null) writeBlockedSince = steadyTime();
      if (windowBlockedSince !== null) windowBlockedSince = steadyTime();
    },
  };
  socket.setNoDelay(true);
  socket.on("error", (error) => close(classifySocketError(error)));
  socket.on(
    "close",
    () => close({ kind: "closed", reason: "connection closed" }),
  );
  return link;
}

/** Decodes a frame; returns null if it isn't a list of elements. */
function unpack(frame: Buffer): unknown[] | null {
  try {
    const elements: unknown = messageCodec.unpack(frame);
    return Array.isArray(elements) ? elements : null;
  } catch {
    return null;
  }
}
