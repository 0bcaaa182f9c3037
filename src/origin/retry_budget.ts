/** What is left for sending requests once more. */
export type RetryBudget = {
  /** Repeats that each request of a service adds. */
  ratio: number;
  /** Most repeats of one service that can be saved up. */
  most: number;
  /** Repeats left, by service, for requests that make no calls. */
  left: Map<string, number>;
  /** The same for requests with calls, which are repeated at each level. */
  leftNested: Map<string, number>;
};
