import type { ByteQueue } from "./byte_queue.ts";

/** Creates an empty byte queue. */
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
      const excessBytes = taken - maxBytes;
      if (excessBytes > 0) {
        const last = first.pop()!;
        first.push(last.subarray(0, last.length - excessBytes));
        parts.unshift(last.subarray(last.length - excessBytes));
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

/** One write of a joined buffer costs less than a vectored write of frames. */
function join(parts: Buffer[], bytes: number): Buffer {
  return parts.length === 1 ? parts[0]! : Buffer.concat(parts, bytes);
}
