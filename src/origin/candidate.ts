/** A backend server that a request can be sent to. */
export type Candidate = {
  /** Address of the daemon beside it. */
  address: string;
  serverId: string;
  dataCentre: string;
  /** Running and waiting requests as a share of its slots. */
  load: number;
  /** Mean time that it runs a request, in ms; 0 where it isn't known. */
  runMs: number;
  /** Share of the recent requests sent from here that failed there. */
  failureRate: number;
};
