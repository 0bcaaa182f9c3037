/** A server that said that it leaves, by `performance.now()`. */
export type Departure = { server: number; acknowledgedAt: number };
