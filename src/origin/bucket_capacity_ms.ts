// Requests don't come evenly; what isn't used is saved up for this time.
const BUCKET_PERIOD_MS = 500;

/** Returns the maximum slot time that can be saved up, in ms. */
export function bucketCapacityMs(allowed: number): number {
  return allowed * BUCKET_PERIOD_MS;
}
