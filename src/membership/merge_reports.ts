import { compareReports } from "./compare_reports.ts";
import { refuteReport } from "./refute_report.ts";
import type { Directory } from "./directory.ts";
import type { Entry } from "./entry.ts";
import { queueUpdate } from "./queue_update.ts";
import { putReport } from "./put_report.ts";
import { updateSuspicionTimeout } from "./update_suspicion_timeout.ts";
import type { Report } from "./report.ts";

/** Limits the directory to about 40 MB, in case members send bogus entries. */
const MAX_MEMBERS = 65_536;

/** Entries that were stored, and addresses whose reports were out of date. */
type Merged = { applied: Entry[]; stale: string[] };

/**
 * Keeps the higher of each report and the stored one, see `compareReports`; the
 * order of reports does not matter. With `spread`, the reports that were stored
 * are queued for sending to other daemons.
 */
export function mergeReports(
  directory: Directory,
  reports: readonly Report[],
  now: number,
  { spread } = { spread: true },
): Merged {
  const merged: Merged = { applied: [], stale: [] };
  for (const report of reports) {
    const { address } = report.entry;
    const known = directory.members.get(address);
    const order = known === undefined ? 1 : compareReports(report, known);
    if (order < 0) merged.stale.push(address);
    if (address === directory.identity.address) {
      refuteReport(directory, report, now);
    } else if (known === undefined && directory.members.size >= MAX_MEMBERS) {
      continue;
    } else if (order > 0) {
      putReport(directory, report, now);
      if (spread) queueUpdate(directory, address);
      updateSuspicionTimeout(directory, report, now);
      merged.applied.push(report.entry);
    }
  }
  return merged;
}
