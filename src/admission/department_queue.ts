import type { Ticket } from "./ticket.ts";

/** Queued requests of one department in one importance class. */
export type DepartmentQueue = {
  department: string;
  /** Share of the department, at least 1. */
  weight: number;
  /** Requests that it may start before the next department's turn. */
  credit: number;
  size: number;
  /** One bit per cohort that has queued requests, 32 cohorts a word. */
  cohortBitmap: number[];
  /** By cohort; a set keeps the order of arrival and removes in O(1). */
  buckets: Map<number, Set<Ticket>>;
};
