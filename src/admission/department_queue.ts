import type { Ticket } from "./ticket.ts";

/**
 * Queued requests of one department in one importance class: a flow, in the
 * terms of fair queueing.
 */
export type DepartmentQueue = {
  department: string;
  /** Weight in the deficit round robin, at least 1. */
  weight: number;
  /** Requests that may start before the next department's turn. */
  credit: number;
  size: number;
  /**
   * One bit per cohort, set if it has queued requests; 32 cohorts per element.
   */
  cohortBitmap: number[];
  /** By cohort; a set keeps arrival order and removes in O(1). */
  buckets: Map<number, Set<Ticket>>;
};
