import type { BodyMessageBuilder, BodySendQueue } from "./body_send_queue.ts";

type Body = {
  stream: number;
  bytes: Buffer;
  sent: number;
  finish: BodyMessageBuilder;
};

/** Creates an empty send queue. */
export function createBodySendQueue(
  { pieceBytes, windowBytes, maxConcurrentBodies }: {
    pieceBytes: number;
    /** Maximum number of piece bytes that are sent and not acknowledged. */
    windowBytes: number;
    /** Bodies that are interleaved; the others wait until one is complete. */
    maxConcurrentBodies: number;
  },
): BodySendQueue {
  let bodies: Body[] = [];
  let unsent = 0;
  let unacknowledged = 0;
  return {
    add(stream, bytes, finish) {
      bodies.push({ stream, bytes, sent: 0, finish });
      unsent += bytes.length;
    },
    cancel(stream) {
      const index = bodies.findIndex((body) => body.stream === stream);
      if (index < 0) return false;
      const [{ bytes, sent }] = bodies.splice(index, 1) as [Body];
      unsent -= bytes.length - sent;
      return true;
    },
    next() {
      const body = bodies[0];
      if (body === undefined || unacknowledged >= windowBytes) return null;
      const { stream, bytes, finish } = body;
      const piece = bytes.subarray(body.sent, body.sent + pieceBytes);
      body.sent += piece.length;
      unsent -= piece.length;
      bodies.shift();
      if (body.sent === bytes.length) return finish(piece, bytes.length);
      bodies.splice(Math.min(maxConcurrentBodies - 1, bodies.length), 0, body);
      unacknowledged += piece.length;
      return ["piece", stream, bytes.length, piece];
    },
    acknowledge(bytes) {
      unacknowledged = Math.max(0, unacknowledged - bytes);
    },
    size: () => unsent,
    clear() {
      bodies = [];
      unsent = 0;
    },
  };
}
