/** State of the adaptive concurrency limit. */
export type Limiter = {
  /**
   * `failures` reduces the limit on failures only, `aimd` also on slow
   * responses, and `gradient` also by the ratio of the baseline to the service
   * time.
   */
  algorithm: "failures" | "aimd" | "gradient";
  /** Limit before rounding. */
  exactLimit: number;
  /** Mean time for which recent responses held a slot, in ms; 0 if unknown. */
  serviceMs: number;
  /** Service time without overload and nested calls, in ms; 0 if unknown. */
  baselineMs: number;
  /** Number of responses since the latest adjustment. */
  responses: number;
  /** Sum of their service times without nested calls, in ms. */
  sumMs: number;
  /**
   * Number of requests since the latest adjustment that the backend server shed
   * or left without a response.
   */
  failures: number;
  /** Highest number of requests in flight since the latest adjustment. */
  peakInFlight: number;
  /** Number of increases since the latest decrease. */
  increases: number;
  /** When the limit was last adjusted, in ms. */
  adjustedAt: number;
};
