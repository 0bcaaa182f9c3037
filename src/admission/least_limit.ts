const LEAST_LIMIT = 2;
const LEAST_SHARE = 1 / 32;

/**
 * Returns the limit that is always kept: a server that recovers is noticed
 * from answers to real requests, without a health endpoint.
 */
export function leastLimit(slots: number): number {
  return Math.min(slots, Math.max(LEAST_LIMIT, Math.ceil(slots * LEAST_SHARE)));
}
