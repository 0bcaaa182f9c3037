import type { DepartmentShare } from "./department_share.ts";

/** Histogram of recent arrivals, from which the admission level is set. */
export type Demand = {
  /** Arrivals since the latest tick, by priority. */
  counts: Float64Array;
  /** Arrivals per ms, by priority; below the level as last admitted. */
  rates: Float64Array;
  /** Arrivals from modest departments in the class that is being shed. */
  belowShareCount: number;
  /** The same per ms. */
  belowShareRate: number;
  /** Evicted or rejected because the queue was full, since the latest tick. */
  overflow: number;
  /** By department. */
  shares: Map<string, DepartmentShare>;
  lastTickAt: number;
  /** When the level was last considered for a further step, in ms. */
  lastStepAt: number;
  /** Size of the queue at that time. */
  lastStepQueueSize: number;
  /** Level after the latest tick. */
  lastTickLevel: number;
};
