import type { BodyBuffer } from "./body_buffer.ts";

const EMPTY = Buffer.alloc(0);
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1024;
// Blocks that wait for the next body, for all buffers together. Memory outside
// the heap is collected late, so blocks are used again rather than dropped.
const MAX_SPARE_BLOCKS = 256;
const spareBlocks: Buffer[] = [];

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
    for (const block of blocks) {
      if (spareBlocks.length === MAX_SPARE_BLOCKS) break;
      if (block.length === MAX_BLOCK_BYTES) spareBlocks.push(block);
    }
    blocks = [];
    bytes = 0;
    used = 0;
  };
  return {
    bytes: () => bytes,
    clear,
    add(source, start, end) {
      for (let at = start; at < end;) {
        let block = blocks.at(-1);
        if (block === undefined || used === block.length) {
          block = openBlock(Math.max(end - at, bytes));
          blocks.push(block);
          used = 0;
        }
        const copied = source.copy(block, used, at, end);
        at += copied;
        used += copied;
        bytes += copied;
      }
    },
    take() {
      const [first = EMPTY] = blocks;
      // Only a block that isn't used again can be handed out.
      const body = blocks.length < 2 && first.length < MAX_BLOCK_BYTES
        ? first.subarray(0, bytes)
        : Buffer.concat(blocks, bytes);
      clear();
      return body;
    },
  };
}

/** Returns a block for `bytes`, as far as a block takes them. */
function openBlock(bytes: number): Buffer {
  if (bytes < MAX_BLOCK_BYTES) {
    return Buffer.allocUnsafe(Math.max(MIN_BLOCK_BYTES, bytes));
  }
  return spareBlocks.pop() ?? Buffer.allocUnsafe(MAX_BLOCK_BYTES);
}
