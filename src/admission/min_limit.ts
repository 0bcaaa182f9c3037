const MIN_LIMIT = 2;
const MIN_SHARE = 1 / 32;

/**
 * Returns the lower bound of the concurrency limit. Some requests are always
 * sent, so that the recovery of a server is detected from their responses
 * without a health endpoint.
 */
export function minLimit(slots: number): number {
  return Math.min(slots, Math.max(MIN_LIMIT, Math.ceil(slots * MIN_SHARE)));
}
