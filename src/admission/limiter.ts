/** State of the adaptive concurrency limit. */
export type Limiter = {
  algorithm: "failures" | "aimd" | "gradient";
  /** Limit before rounding. */
  exactLimit: number;
  /** Mean time that recent answers held a slot, in ms; 0: none is known. */
  serviceMs: number;
  /** Own service time without overload, in ms; 0 where none is known. */
  baselineMs: number;
  /** Answers since the latest adjustment. */
  responses: number;
  /** Sum of their service times without nested calls, in ms. */
  sumMs: number;
  /** Shed by the backend server or without a response, since then. */
  failures: number;
  /** Most requests that held a slot at once, since then. */
  peakInFlight: number;
  /** Increases since the latest decrease. */
  increases: number;
  /** When the limit was last adjusted, in ms. */
  adjustedAt: number;
};
