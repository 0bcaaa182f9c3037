/**
 * One daemon's retry budget. A retry is a request that this daemon sends again;
 * a repeat is any request that runs again, including the calls of a retried
 * one, which inherit that they are repeats.
 */
export type RetryBudget = {
  /** Retries that each request of a service adds to the budget. */
  ratio: number;
  /** Upper bound of the ratio including repeats inherited from callers. */
  totalRatio: number;
  /** Maximum number of retries for one service that can accumulate. */
  maxBalance: number;
  /** Retries left for requests that make no nested calls, by service. */
  single: Map<string, number>;
  /** Retries left for requests with nested calls after no answer, by route. */
  nested: Map<string, number>;
  /** The same after an error answer, mostly the result of a failed call. */
  answered: Map<string, number>;
};
