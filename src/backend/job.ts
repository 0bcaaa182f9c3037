/** A request that waits or runs at the gate. */
export type Job = {
  /**
   * Jobs of one flow are served in the order of arrival; flows share the
   * server.
   */
  flow: string;
  /** Share of the server that the flow may use, relative to other flows. */
  weight: number;
  /** Expected run time, in ms. */
  runMs: number;
  /** Monotonic time at which the request expires, in ms. */
  expiresAt: number;
  start: () => void;
  refuse: (reason: "overload" | "expired" | "leaving", waitMs: number) => void;
};
