/** Last load report sent to a peer, and the peer's most recent request. */
export type ReportState = {
  /** Requests running and waiting, as a share of the slots. */
  load: number;
  /** Mean run time in ms; 0 if none has been reported. */
  runMs: number;
  /** Monotonic time of the last load report, in ms. */
  at: number;
  /** Monotonic time of the peer's last request, in ms. */
  requestedAt: number;
};
