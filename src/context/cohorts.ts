/** Number of cohorts into which root requests are hashed. */
export const COHORTS = 128;
