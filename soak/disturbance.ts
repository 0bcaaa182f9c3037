/** A period in which a fault affects a VM's daemon; times are from `performance.now()`. */
export type Disturbance = {
  vm: number;
  from: number;
  to: number;
  /** Whether this is a planned stop, which must not interrupt any request. */
  planned: boolean;
};
