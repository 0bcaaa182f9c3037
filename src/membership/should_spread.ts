/**
 * Repair that brings more than this many entries is a new daemon or the end of
 * a partition. The receiver then leaves spreading them to the digests: as
 * news, 14,000 entries would be sent 14 times each.
 */
const MAX_SPREAD = 64;

/** Returns whether the receiver of repaired entries passes them on as news. */
export function shouldSpread(reports: readonly unknown[]): boolean {
  return reports.length <= MAX_SPREAD;
}
