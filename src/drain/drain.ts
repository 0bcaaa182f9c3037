/** Progress of the planned shutdown of a daemon. */
export type Drain = {
  phase: "serving" | "leaving" | "closing" | "drained";
  /** When the phase `leaving` began, in ms; 0 before. */
  since: number;
};
