// Requests arrive unevenly, so unused slot time accumulates over this period.
const BUCKET_PERIOD_MS = 500;

/** Returns the maximum slot time that can accumulate, in ms. */
export function bucketCapacityMs(allowed: number): number {
  return allowed * BUCKET_PERIOD_MS;
}
