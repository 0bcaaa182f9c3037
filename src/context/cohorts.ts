/** Number of cohorts that root requests are hashed into. */
export const COHORTS = 128;
