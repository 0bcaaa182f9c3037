import type { BodyBuffer } from "./body_buffer.ts";

const EMPTY = Buffer.alloc(0);
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Creates an empty buffer. Parts are copied into blocks, so that the memory
 * held follows the bytes and not the count of parts.
 */
export function createBodyBuffer(): BodyBuffer {
  let blocks: Buffer[] = [];
  let bytes = 0;
  // Bytes used of the last block.
  let used = 0;
  const clear = () => {
    blocks = [];
    bytes = 0;
    used = 0;
  };
  return {
    bytes: () => bytes,
    clear,
    add(part) {
      for (let at = 0; at < part.length;) {
        let block = blocks.at(-1);
        if (block === undefined || used === block.length) {
          const wanted = Math.max(MIN_BLOCK_BYTES, part.length - at, bytes);
          block = Buffer.allocUnsafe(Math.min(MAX_BLOCK_BYTES, wanted));
          blocks.push(block);
          used = 0;
        }
        const copied = part.copy(block, used, at);
        at += copied;
        used += copied;
        bytes += copied;
      }
    },
    take() {
      const body = blocks.length === 0
        ? EMPTY
        : blocks.length === 1
        ? blocks[0]!.subarray(0, bytes)
        : Buffer.concat(blocks, bytes);
      clear();
      return body;
    },
  };
}
