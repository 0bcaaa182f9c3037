/** Last load report sent to a peer, and the peer's most recent request. */
export type ReportState = {
  /** Running and waiting requests divided by the concurrency limit. */
  load: number;
  /** Mean run time in ms; 0 if none has been reported. */
  runMs: number;
  /** Monotonic time of the last load report, in ms. */
  at: number;
  /** Monotonic time of the peer's last request, in ms. */
  requestedAt: number;
};
