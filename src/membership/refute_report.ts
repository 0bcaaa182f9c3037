import { compareReports } from "./compare_reports.ts";
import type { Directory } from "./directory.ts";
import { ownMember } from "./own_member.ts";
import type { Report } from "./report.ts";
import { writeOwnEntry } from "./write_own_entry.ts";

/**
 * Handles a report on the own address. A verdict on the current version is
 * refuted by writing the next version. A different entry whose version is not
 * lower, left by an earlier process whose clock was ahead, is superseded by a
 * higher incarnation.
 */
export function refuteReport(
  directory: Directory,
  report: Report,
  now: number,
): void {
  const own = ownMember(directory);
  const { incarnation, sequence } = own.entry;
  const { entry, verdict } = report;
  const order = entry.incarnation - incarnation || entry.sequence - sequence;
  if (order < 0) return;
  if (compareReports({ entry, verdict: 0 }, own) !== 0) {
    const higher = Math.max(incarnation, entry.incarnation) + 1;
    writeOwnEntry(directory, { incarnation: higher, sequence: 0 }, now);
  } else if (verdict > 0) {
    writeOwnEntry(directory, { incarnation, sequence: sequence + 1 }, now);
  }
}
