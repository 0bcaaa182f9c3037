import type { Lane } from "./lane.ts";

/** Queued requests of one importance class. */
export type Band = {
  size: number;
  /** By department, in the order of their turns. */
  lanes: Map<string, Lane>;
  /** Lanes by size divided by weight, rounded up; finds the longest in O(1). */
  bySize: Set<Lane>[];
  /** Highest index of `bySize` that holds a lane. */
  longest: number;
  /** Fenwick tree of queued requests by cohort, for queue positions. */
  counts: Int32Array;
};
