/** What a daemon that has a link to this one knows of the backend server here. */
export type ReportState = {
  /** Requests running and waiting as a share of the slots. */
  load: number;
  /** Mean run time in ms; 0: never told. */
  runMs: number;
  /** Steady time at which it was told its load, in ms. */
  at: number;
  /** Steady time of its last request, in ms. */
  requestedAt: number;
};
