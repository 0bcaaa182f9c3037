/** A deregistered server; the time is from `performance.now()`. */
export type Leaving = { server: number; acknowledgedAt: number };
