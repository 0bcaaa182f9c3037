/** A source of random numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;
