/**
 * A repair with more entries than this means a new daemon or the end of a
 * partition. The receiver then leaves it to the digests to spread them: as
 * updates, 14,000 entries would be sent 14 times each.
 */
const MAX_SPREAD_REPORTS = 64;

/**
 * Returns whether the receiver of repaired entries passes them on as updates.
 */
export function shouldSpread(reports: readonly unknown[]): boolean {
  return reports.length <= MAX_SPREAD_REPORTS;
}
