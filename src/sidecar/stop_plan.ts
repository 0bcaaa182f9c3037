/** Schedule of a planned stop, as steady times in ms. */
export type StopPlan = {
  /** Client requests are refused from then on; the local server may leave. */
  refuseAt: number;
  /** Latest time at which the local server leaves. */
  leaveLatestAt: number;
  /** Latest end of running requests, so that their responses still arrive. */
  runsEndAt: number;
  /** The stop ends, even if requests are still open. */
  endAt: number;
};
