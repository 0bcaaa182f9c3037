const EMPTY = Buffer.alloc(0);
const LENGTH_BYTES = 4;

/**
 * Splits a stream into frames, each behind its length in four bytes. The
 * returned function is false once a frame exceeds `maxBytes`, which is asked for
 * each frame anew, or may not be held.
 */
export function createFrameReader(
  maxBytes: () => number,
  onFrame: (frame: Buffer) => void,
  /** Whether so many bytes of an unfinished frame may be held. */
  mayHold: (bytes: number) => boolean = () => true,
): (chunk: Buffer) => boolean {
  let buffer: Buffer = EMPTY;
  // Chunks are joined only once a frame is whole, so that a large frame isn't
  // copied again with each chunk.
  let parts: Buffer[] = [];
  let held = 0;
  let wanted = LENGTH_BYTES;
  return (chunk) => {
    parts.push(chunk);
    held += chunk.length;
    if (held < wanted) return mayHold(held);
    buffer = parts.length === 1 ? chunk : Buffer.concat(parts, held);
    let at = 0;
    while (buffer.length - at >= LENGTH_BYTES) {
      const bytes = buffer.readUInt32BE(at);
      if (bytes > maxBytes()) return false;
      wanted = LENGTH_BYTES + bytes;
      if (buffer.length - at < wanted) break;
      onFrame(buffer.subarray(at + LENGTH_BYTES, at + wanted));
      at += wanted;
      wanted = LENGTH_BYTES;
    }
    buffer = buffer.subarray(at);
    parts = buffer.length === 0 ? [] : [buffer];
    held = buffer.length;
    return mayHold(held);
  };
}
