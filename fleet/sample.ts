/** What became of one request of the load generator. */
export type Sample = {
  name: string;
  importance: string;
  key: string;
  /** When it was due, in ms from the start of the load. */
  at: number;
  latencyMs: number;
  sends: number;
  result: "good" | "not-run" | "unknown" | "failed" | "wrong";
  /** Result and reason of the first send. */
  firstOutcome: string;
  /** Reason given with a result other than `good`. */
  reason: string;
};
