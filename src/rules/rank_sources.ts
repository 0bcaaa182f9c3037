import type { Head } from "./head.ts";

/** A head that the store or a peer offers to a daemon with empty memory. */
type Offer = { source: string; head: Head };

/**
 * Orders the sources that a daemon with empty memory takes a snapshot from: the
 * highest sequence first. It goes to the next one if a snapshot is not valid.
 */
export function rankSources(offers: readonly Offer[]): Offer[] {
  return offers
    .filter(({ head }) => head.sequence > 0)
    .sort((left, right) => right.head.sequence - left.head.sequence);
}
