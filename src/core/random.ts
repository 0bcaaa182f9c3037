/** A source of random numbers, at least 0 and below 1. */
export type Random = () => number;
