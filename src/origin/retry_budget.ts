/** What is left for sending requests to a second server, by service. */
export type RetryBudget = {
  /** Retries that each request of a service adds. */
  ratio: number;
  /** Most retries that can be saved up. */
  most: number;
  left: Map<string, number>;
};
