/** A request at the gate of the backend server. */
export type Job = {
  /** Whether a backend server made it while it ran another request. */
  nested: boolean;
  rank: number;
  /** Steady time at which the request is given up, in ms. */
  expiresAt: number;
  start: () => void;
  refuse: (reason: "overload" | "expired", waitMs: number) => void;
};
