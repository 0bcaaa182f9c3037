import type { BodyAssembler } from "./body_assembler.ts";

/** Creates an assembler without bodies. */
export function createBodyAssembler(
  { maxBodyBytes, maxConcurrentBodies }: {
    maxBodyBytes: number;
    /** Maximum number of incomplete bodies. */
    maxConcurrentBodies: number;
  },
): BodyAssembler {
  const bodies = new Map<number, { data: Buffer; filled: number }>();
  let size = 0;
  const drop = (stream: number) => {
    size -= bodies.get(stream)?.filled ?? 0;
    bodies.delete(stream);
  };
  return {
    add(stream, total, piece) {
      let body = bodies.get(stream);
      if (body === undefined) {
        if (!(total > 0 && total <= maxBodyBytes)) return false;
        if (bodies.size >= maxConcurrentBodies) return false;
        // The operating system commits memory only for pages that have been
        // written, so a large announced total costs nothing by itself.
        body = { data: Buffer.allocUnsafeSlow(total), filled: 0 };
        bodies.set(stream, body);
      }
      const { data, filled } = body;
      // `>=`: the last piece arrives in the final message, not as a piece.
      if (total !== data.length || filled + piece.length >= total) return false;
      data.set(piece, filled);
      body.filled += piece.length;
      size += piece.length;
      return true;
    },
    finish(stream, last, total) {
      const body = bodies.get(stream);
      drop(stream);
      if (body === undefined) return null;
      const { data, filled } = body;
      const complete = total === data.length && filled + last.length === total;
      if (!complete) return null;
      data.set(last, filled);
      return data;
    },
    drop,
    size: () => size,
    clear() {
      bodies.clear();
      size = 0;
    },
  };
}
