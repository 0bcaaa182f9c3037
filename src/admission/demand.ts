import type { DepartmentShare } from "./department_share.ts";

/** Histogram of recent arrivals, from which the admission level is set. */
export type Demand = {
  /** Arrivals since the latest tick, by priority. */
  counts: Float64Array;
  /**
   * Smoothed arrivals per ms, by priority. Below the level it is the rate last
   * seen, because sources shed there.
   */
  rates: Float64Array;
  /**
   * Arrivals since the latest tick in the class being shed, from departments
   * below their fair share.
   */
  belowShareCount: number;
  /** Smoothed rate of these arrivals, per ms. */
  belowShareRate: number;
  /**
   * Requests evicted or rejected because the queue was full, since the latest
   * tick.
   */
  overflow: number;
  /** Recent arrivals by department. */
  shares: Map<string, DepartmentShare>;
  /** Time of the latest tick, in ms. */
  lastTickAt: number;
  /** When a further rise of the level was last considered, in ms. */
  lastStepAt: number;
  /** Queue size at `lastStepAt`. */
  lastStepQueueSize: number;
  /** Level after the latest tick. */
  lastTickLevel: number;
};
