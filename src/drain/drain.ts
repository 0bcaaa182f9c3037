/** How far the planned shutdown of a daemon has come. */
export type Drain = {
  phase: "serving" | "leaving" | "closing" | "drained";
  /** When leaving began, in ms; 0 before. */
  since: number;
};
