/** One daemon's budget of repeats, that is, of requests sent again. */
export type RetryBudget = {
  /** Repeats that each request of a service adds to the budget. */
  ratio: number;
  /** Bound of the ratio including repeats inherited from the callers. */
  totalRatio: number;
  /** Maximum number of repeats for one service that can be saved up. */
  maxBalance: number;
  /** Repeats left for requests that make no nested calls, by service. */
  single: Map<string, number>;
  /** Repeats left for requests with nested calls after no answer, by route. */
  nested: Map<string, number>;
  /** The same after an error answer, mostly the result of a failed call. */
  answered: Map<string, number>;
};
