/**
 * The local backend server as described by its latest heartbeat, departure or
 * health check.
 */
export type Registration = {
  id: string;
  startedAt: number;
  sequence: number;
  slots: number;
  leaving: boolean;
  /**
   * Whether the server has signed off, after which its heartbeats are ignored.
   */
  departed: boolean;
  /** Steady time until which the server is slow after its start, in ms. */
  coldUntil: number;
  /** Steady time at which the server was last heard from, in ms. */
  heardAt: number;
};
