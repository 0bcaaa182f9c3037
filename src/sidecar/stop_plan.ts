/** Steady times of a planned stop, in ms. */
export type StopPlan = {
  /** Clients are turned away; the own server may leave. */
  refuseAt: number;
  /** The own server leaves in any case. */
  leaveLatestAt: number;
  /** Runs end, so that their answers still arrive. */
  runsEndAt: number;
  /** The process ends, whatever is open. */
  endAt: number;
};
