import type { Band } from "./band.ts";
import type { Lane } from "./lane.ts";

/** Changes the size of a lane by one and keeps the order of lanes by size. */
export function resizeLane(band: Band, lane: Lane, change: 1 | -1): void {
  const before = Math.ceil(lane.size / lane.weight);
  lane.size += change;
  band.size += change;
  const after = Math.ceil(lane.size / lane.weight);
  if (before === after) return;
  band.bySize[before]?.delete(lane);
  if (after > 0) (band.bySize[after] ??= new Set()).add(lane);
  // A weight of at least 1 keeps each change to one index, so this is O(1).
  if (after > band.longest) band.longest = after;
  while (band.longest > 0 && band.bySize[band.longest]!.size === 0) {
    band.longest -= 1;
  }
}
