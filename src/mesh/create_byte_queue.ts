import type { ByteQueue } from "./byte_queue.ts";

/** Creates an empty queue of bytes. */
export function createByteQueue(): ByteQueue {
  let parts: Buffer[] = [];
  let size = 0;
  return {
    push(bytes) {
      parts.push(bytes);
      size += bytes.length;
    },
    take(maxBytes) {
      if (size <= maxBytes) {
        const all = join(parts, size);
        parts = [];
        size = 0;
        return all;
      }
      let taken = 0;
      let count = 0;
      while (count < parts.length && taken < maxBytes) {
        taken += parts[count++]!.length;
      }
      const first = parts.splice(0, count);
      const excess = taken - maxBytes;
      if (excess > 0) {
        const last = first.pop()!;
        first.push(last.subarray(0, last.length - excess));
        parts.unshift(last.subarray(last.length - excess));
        taken = maxBytes;
      }
      size -= taken;
      return join(first, taken);
    },
    size: () => size,
    clear() {
      parts = [];
      size = 0;
    },
  };
}

/** One write of joined frames costs less than a vector of small ones. */
function join(parts: Buffer[], bytes: number): Buffer {
  return parts.length === 1 ? parts[0]! : Buffer.concat(parts, bytes);
}
