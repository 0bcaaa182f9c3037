import type { BodyBuffer } from "./body_buffer.ts";

const EMPTY = Buffer.alloc(0);
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1024;
// Maximum number of spare blocks, shared by all buffers. Blocks are reused
// because memory outside the heap is collected late.
const MAX_SPARE_BLOCKS = 256;
const spareBlocks: Buffer[] = [];

/**
 * Creates an empty buffer. Parts are copied into blocks, so that memory use
 * depends on the number of bytes and not on the number of parts.
 */
export function createBodyBuffer(): BodyBuffer {
  let blocks: Buffer[] = [];
  let bytes = 0;
  // Number of bytes used in the last block.
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
      for (let offset = start; offset < end;) {
        let block = blocks.at(-1);
        if (block === undefined || used === block.length) {
          block = getBlock(Math.max(end - offset, bytes));
          blocks.push(block);
          used = 0;
        }
        const copied = source.copy(block, used, offset, end);
        offset += copied;
        used += copied;
        bytes += copied;
      }
    },
    take() {
      const [first = EMPTY] = blocks;
      // Only a block that is never reused can be handed out without a copy.
      const body = blocks.length < 2 && first.length < MAX_BLOCK_BYTES
        ? first.subarray(0, bytes)
        : Buffer.concat(blocks, bytes);
      clear();
      return body;
    },
  };
}

/**
 * Returns a block that holds `bytes`, or one of the maximum size if they exceed
 * it.
 */
function getBlock(bytes: number): Buffer {
  if (bytes < MAX_BLOCK_BYTES) {
    return Buffer.allocUnsafe(Math.max(MIN_BLOCK_BYTES, bytes));
  }
  return spareBlocks.pop() ?? Buffer.allocUnsafe(MAX_BLOCK_BYTES);
}
