/** A daemon whose backend server runs the requested service. */
export type Candidate = {
  /** Address of its peer listener, `host:port`; also its id. */
  address: string;
  dataCentre: string;
  /** Slots that its backend server announced. */
  slots: number;
  /** Time at which the server became known, in ms; start of its slow start. */
  since: number;
  /** Warm-up time that the server announced, in ms. */
  warmupMs: number;
  /** Instance of the process that the membership entry describes, if known. */
  instance?: string;
  /**
   * Sequence number of the membership entry, if known; a change readmits a
   * daemon that has rejected as leaving.
   */
  sequence?: number;
};
