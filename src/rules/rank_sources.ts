import type { Head } from "./head.ts";

/** A head that the store or a peer offers to a daemon with empty memory. */
type ReportedHead = { source: string; head: Head };

/**
 * Orders the sources that a daemon with empty memory takes a snapshot from: the
 * highest sequence first. It goes to the next one if a snapshot is not valid.
 */
export function rankSources(heads: readonly ReportedHead[]): ReportedHead[] {
  return heads
    .filter(({ head }) => head.sequence > 0)
    .sort((left, right) => right.head.sequence - left.head.sequence);
}
