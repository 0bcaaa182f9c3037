/** Steady times of a planned stop, in ms. */
export type StopPlan = {
  /** Other daemons are told that the own server leaves. */
  leaveAt: number;
  /** Clients and other daemons are turned away. */
  refuseAt: number;
  /** Runs end, so that their answers still arrive. */
  runsEndAt: number;
  /** The process ends, whatever is open. */
  endAt: number;
};
