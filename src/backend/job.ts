/** A request at the gate of the backend server. */
export type Job = {
  /** Requests of one flow wait in line; flows share the server. */
  flow: string;
  /** Share of the server that the flow may claim, relative to other flows. */
  weight: number;
  /** Time that it is expected to run, in ms. */
  runMs: number;
  /** Steady time at which the request is given up, in ms. */
  expiresAt: number;
  start: () => void;
  refuse: (reason: "overload" | "expired" | "leaving", waitMs: number) => void;
};
