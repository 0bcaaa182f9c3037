import type { BodyMessageBuilder, BodySendQueue } from "./body_send_queue.ts";

type Body = {
  stream: number;
  bytes: Buffer;
  sent: number;
  finish: BodyMessageBuilder;
};

/** Creates an outbox without bodies. */
export function createBodySendQueue(
  { pieceBytes, windowBytes, mostAtOnce }: {
    pieceBytes: number;
    /** Bytes of pieces that may be sent before the other side reads any. */
    windowBytes: number;
    /** Bodies that take turns; the others wait until one of them has ended. */
    mostAtOnce: number;
  },
): BodySendQueue {
  let bodies: Body[] = [];
  let unsent = 0;
  let unread = 0;
  return {
    add(stream, bytes, finish) {
      bodies.push({ stream, bytes, sent: 0, finish });
      unsent += bytes.length;
    },
    cancel(stream) {
      const at = bodies.findIndex((body) => body.stream === stream);
      if (at < 0) return false;
      const [{ bytes, sent }] = bodies.splice(at, 1) as [Body];
      unsent -= bytes.length - sent;
      return true;
    },
    next() {
      const body = bodies[0];
      if (body === undefined || unread >= windowBytes) return null;
      const { stream, bytes, finish } = body;
      const piece = bytes.subarray(body.sent, body.sent + pieceBytes);
      body.sent += piece.length;
      unsent -= piece.length;
      bodies.shift();
      if (body.sent === bytes.length) return finish(piece, bytes.length);
      bodies.splice(Math.min(mostAtOnce - 1, bodies.length), 0, body);
      unread += piece.length;
      return ["piece", stream, bytes.length, piece];
    },
    acknowledge(bytes) {
      unread = Math.max(0, unread - bytes);
    },
    size: () => unsent,
    clear() {
      bodies = [];
      unsent = 0;
    },
  };
}
