/** A backend server that a request can be sent to. */
export type Candidate = {
  /** Address of the daemon beside it. */
  address: string;
  serverId: string;
  dataCentre: string;
  /** Running and waiting requests as a share of its slots. */
  load: number;
};
