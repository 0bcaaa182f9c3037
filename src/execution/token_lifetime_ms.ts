/** Time in ms from the issue of an execution token to its expiry. */
export const TOKEN_LIFETIME_MS = 60_000;
