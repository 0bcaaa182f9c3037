import type { DepartmentQueue } from "./department_queue.ts";

/** Queued requests of one importance class. */
export type ClassQueue = {
  size: number;
  /** By department, in round-robin order: the first entry is served next. */
  departmentQueues: Map<string, DepartmentQueue>;
  /**
   * Indexed by size divided by weight, rounded up; finds the longest in O(1).
   */
  bySize: Set<DepartmentQueue>[];
  /** Highest index of `bySize` with a department queue. */
  longestIndex: number;
  /**
   * Fenwick tree of the number of queued requests by cohort, for queue
   * positions.
   */
  cohortCounts: Int32Array;
};
