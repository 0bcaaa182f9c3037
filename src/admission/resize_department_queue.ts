import type { ClassQueue } from "./class_queue.ts";
import type { DepartmentQueue } from "./department_queue.ts";

/**
 * Changes the size of a department queue by one and updates the index by size.
 */
export function resizeDepartmentQueue(
  classQueue: ClassQueue,
  flow: DepartmentQueue,
  change: 1 | -1,
): void {
  const before = Math.ceil(flow.size / flow.weight);
  flow.size += change;
  classQueue.size += change;
  const after = Math.ceil(flow.size / flow.weight);
  if (before === after) return;
  classQueue.bySize[before]?.delete(flow);
  if (after > 0) (classQueue.bySize[after] ??= new Set()).add(flow);
  // Weights are at least 1, so the index changes by at most 1 and this is O(1).
  if (after > classQueue.longestIndex) classQueue.longestIndex = after;
  while (
    classQueue.longestIndex > 0 &&
    classQueue.bySize[classQueue.longestIndex]!.size === 0
  ) {
    classQueue.longestIndex -= 1;
  }
}
