/** A deregistered server; the time is from `performance.now()`. */
export type Departure = { server: number; acknowledgedAt: number };
