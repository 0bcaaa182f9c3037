const MIN_LIMIT = 2;
const MIN_SHARE = 1 / 32;

/**
 * Returns the limit that is always kept: a server that recovers is noticed
 * from answers to real requests, without a health endpoint.
 */
export function minLimit(slots: number): number {
  return Math.min(slots, Math.max(MIN_LIMIT, Math.ceil(slots * MIN_SHARE)));
}
