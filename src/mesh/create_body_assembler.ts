import type { BodyAssembler } from "./body_assembler.ts";

/** Creates an inbox without bodies. */
export function createBodyAssembler(
  { maxBodyBytes, mostAtOnce }: {
    maxBodyBytes: number;
    /** Bodies that the other side may have begun. */
    mostAtOnce: number;
  },
): BodyAssembler {
  const bodies = new Map<number, { joined: Buffer; held: number }>();
  let size = 0;
  const drop = (stream: number) => {
    size -= bodies.get(stream)?.held ?? 0;
    bodies.delete(stream);
  };
  return {
    add(stream, total, piece) {
      let body = bodies.get(stream);
      if (body === undefined) {
        if (!(total > 0 && total <= maxBodyBytes)) return false;
        if (bodies.size >= mostAtOnce) return false;
        // Memory is used up to what has been written.
        body = { joined: Buffer.allocUnsafeSlow(total), held: 0 };
        bodies.set(stream, body);
      }
      const { joined, held } = body;
      // The last piece comes with the message that ends the body.
      if (total !== joined.length || held + piece.length >= total) return false;
      joined.set(piece, held);
      body.held += piece.length;
      size += piece.length;
      return true;
    },
    finish(stream, last, total) {
      const body = bodies.get(stream);
      drop(stream);
      if (body === undefined) return null;
      const { joined, held } = body;
      const whole = total === joined.length && held + last.length === total;
      if (!whole) return null;
      joined.set(last, held);
      return joined;
    },
    drop,
    size: () => size,
    clear() {
      bodies.clear();
      size = 0;
    },
  };
}
