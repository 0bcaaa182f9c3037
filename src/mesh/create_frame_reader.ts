const EMPTY = Buffer.alloc(0);
const LENGTH_BYTES = 4;

/**
 * Splits a byte stream into frames, each preceded by its length in four bytes.
 * The returned function takes the next chunk of the stream and returns false if
 * a frame exceeds `maxBytes`, which is evaluated for each frame, or `mayBuffer`
 * rejects the bytes of an incomplete frame.
 */
export function createFrameReader(
  maxBytes: () => number,
  onFrame: (frame: Buffer) => void,
  /** Whether this many bytes of an incomplete frame may be buffered. */
  mayBuffer: (bytes: number) => boolean = () => true,
): (chunk: Buffer) => boolean {
  let buffer: Buffer = EMPTY;
  // Chunks are joined only when a frame is complete: joining them on arrival
  // would copy a large frame again with each chunk.
  let chunks: Buffer[] = [];
  let bufferedBytes = 0;
  let neededBytes = LENGTH_BYTES;
  return (chunk) => {
    chunks.push(chunk);
    bufferedBytes += chunk.length;
    if (bufferedBytes < neededBytes) return mayBuffer(bufferedBytes);
    buffer = chunks.length === 1 ? chunk : Buffer.concat(chunks, bufferedBytes);
    let offset = 0;
    while (buffer.length - offset >= LENGTH_BYTES) {
      const bytes = buffer.readUInt32BE(offset);
      if (bytes > maxBytes()) return false;
      neededBytes = LENGTH_BYTES + bytes;
      if (buffer.length - offset < neededBytes) break;
      onFrame(buffer.subarray(offset + LENGTH_BYTES, offset + neededBytes));
      offset += neededBytes;
      neededBytes = LENGTH_BYTES;
    }
    buffer = buffer.subarray(offset);
    chunks = buffer.length === 0 ? [] : [buffer];
    bufferedBytes = buffer.length;
    return mayBuffer(bufferedBytes);
  };
}
