/** Result of one request of the load generator. */
export type Sample = {
  name: string;
  importance: string;
  key: string;
  /** Arrival time, in ms from the start of the load. */
  at: number;
  latencyMs: number;
  sends: number;
  result: "good" | "not-run" | "unknown" | "failed" | "wrong";
  /** Result and reason of the first attempt. */
  firstOutcome: string;
  /** Reason for a result other than `good`. */
  reason: string;
};
