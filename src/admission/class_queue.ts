import type { DepartmentQueue } from "./department_queue.ts";

/** Queued requests of one importance class. */
export type ClassQueue = {
  size: number;
  /** By department, in the order of their turns. */
  departmentQueues: Map<string, DepartmentQueue>;
  /** Lanes by size divided by weight, rounded up; finds the longest in O(1). */
  bySize: Set<DepartmentQueue>[];
  /** Highest index of `bySize` that holds a lane. */
  longestIndex: number;
  /** Fenwick tree of queued requests by cohort, for queue positions. */
  cohortCounts: Int32Array;
};
