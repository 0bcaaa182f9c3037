/** Latest admission level reported by a daemon. */
export type ReportedLevel = {
  level: number;
  /** When it was reported, in ms. */
  at: number;
  /** Requests not sent because of the level since the latest probe. */
  rejected: number;
};
