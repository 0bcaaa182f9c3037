/** Requests at the gate of the backend server. */
export type Occupancy = {
  running: number;
  waiting: number;
  /** Most that run at once. */
  limit: number;
};
