/** Requests at the gate of the backend server. */
export type Occupancy = {
  running: number;
  waiting: number;
  /** Maximum number of requests that run at once. */
  limit: number;
};
