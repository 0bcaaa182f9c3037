/** Steady times of a planned stop, in ms. */
export type StopPlan = {
  /** The own server leaves if others of its service are in use. */
  leaveAt: number;
  /** Clients are turned away. */
  refuseAt: number;
  /** The own server leaves in any case. */
  leaveLatestAt: number;
  /** Runs end, so that their answers still arrive. */
  runsEndAt: number;
  /** The process ends, whatever is open. */
  endAt: number;
};
