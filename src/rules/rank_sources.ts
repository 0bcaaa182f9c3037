import type { Head } from "./head.ts";

/** A head that the store or a peer reports to a daemon without rules. */
type ReportedHead = { source: string; head: Head };

/**
 * Orders the sources that a daemon without rules can get a snapshot from, the
 * highest sequence first, so that it can try the next one if a snapshot is
 * invalid.
 */
export function rankSources(heads: readonly ReportedHead[]): ReportedHead[] {
  return heads
    .filter(({ head }) => head.sequence > 0)
    .sort((left, right) => right.head.sequence - left.head.sequence);
}
