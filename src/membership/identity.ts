/** Identity of a daemon, from its settings and its process. */
export type Identity = {
  /** Address of its peer listener, `host:port`; also its id. */
  address: string;
  dataCentre: string;
  /** Random id of the process. */
  instance: string;
  /**
   * First incarnation, usually the wall clock at the start in ms; by default
   * the monotonic time. It need not be higher than that of an earlier process:
   * a daemon that receives such an entry raises its own.
   */
  incarnation?: number;
};
