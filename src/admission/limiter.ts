/** State of the adaptive concurrency limit. */
export type Limiter = {
  algorithm: "aimd" | "gradient";
  /** Limit before rounding. */
  exact: number;
  /** Mean service time of recent answers, in ms; 0 where none is known. */
  serviceMs: number;
  /** Service time without overload, in ms; 0 where none is known. */
  baselineMs: number;
  /** Answers since the latest adjustment. */
  answers: number;
  /** Sum of their service times, in ms. */
  sumMs: number;
  /** Shed by the backend server or without a response, since then. */
  failures: number;
  /** Most requests that held a slot at once, since then. */
  peak: number;
  /** Increases since the latest decrease. */
  increases: number;
  /** When the limit was last adjusted, in ms. */
  adjustedAt: number;
};
