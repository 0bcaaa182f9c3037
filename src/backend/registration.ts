/**
 * The local backend server as described by its latest heartbeat, departure or
 * health check.
 */
export type Registration = {
  id: string;
  /**
   * Wall-clock time at which the server started, in ms; `UNKNOWN_START` if it
   * has not been reported.
   */
  startedAt: number;
  sequence: number;
  slots: number;
  leaving: boolean;
  /**
   * Whether the server has signed off, after which its heartbeats are ignored.
   */
  departed: boolean;
  /** Monotonic time until which the server is slow after its start, in ms. */
  coldUntil: number;
  /** Monotonic time at which the server was last heard from, in ms. */
  heardAt: number;
};
