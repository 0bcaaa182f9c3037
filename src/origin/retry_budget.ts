/** What is left for sending requests once more. */
export type RetryBudget = {
  /** Repeats that each request of a service adds. */
  ratio: number;
  /** The same with what the callers of those requests repeat. */
  totalRatio: number;
  /** Most repeats of one service that can be saved up. */
  maxSaved: number;
  /** Repeats left for requests that make no calls, by service. */
  single: Map<string, number>;
  /** The same for requests with calls, by route: after no answer. */
  nested: Map<string, number>;
  /** And after a failed answer, which mostly comes of a call that failed. */
  answered: Map<string, number>;
};
