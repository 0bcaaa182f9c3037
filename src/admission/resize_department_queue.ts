import type { ClassQueue } from "./class_queue.ts";
import type { DepartmentQueue } from "./department_queue.ts";

/** Changes the size of a lane by one and keeps the order of lanes by size. */
export function resizeDepartmentQueue(
  band: ClassQueue,
  lane: DepartmentQueue,
  change: 1 | -1,
): void {
  const before = Math.ceil(lane.size / lane.weight);
  lane.size += change;
  band.size += change;
  const after = Math.ceil(lane.size / lane.weight);
  if (before === after) return;
  band.bySize[before]?.delete(lane);
  if (after > 0) (band.bySize[after] ??= new Set()).add(lane);
  // A weight of at least 1 keeps each change to one index, so this is O(1).
  if (after > band.longestIndex) band.longestIndex = after;
  while (band.longestIndex > 0 && band.bySize[band.longestIndex]!.size === 0) {
    band.longestIndex -= 1;
  }
}
