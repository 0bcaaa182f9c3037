/** Results of the requests sent to one server. */
export type Observation = {
  /** Server that the results are of. */
  serverId: string;
  /** Share of recent requests that failed. */
  failureRate: number;
  /** Steady time of the last result, in ms. */
  updatedAt: number;
};
