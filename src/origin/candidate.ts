/** A backend server that a request can be sent to. */
export type Candidate = {
  /** Address of its daemon. */
  address: string;
  serverId: string;
  dataCentre: string;
  /** Running and waiting requests as a share of its slots. */
  load: number;
  /** Mean run time of a request there, in ms; 0 if unknown. */
  runMs: number;
  /** Share of the recent requests sent from here that failed there. */
  failureRate: number;
};
