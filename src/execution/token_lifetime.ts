/** Time in ms from the issue of an execution token to its expiry. */
export const tokenLifetimeMs = 60_000;
