import { compareReports } from "./compare_reports.ts";
import type { Directory } from "./directory.ts";
import { ownMember } from "./own_member.ts";
import type { Report } from "./report.ts";
import { writeOwnEntry } from "./write_own_entry.ts";

/**
 * Answers a report on the own address. A verdict on the present version is
 * refuted by the next one. An entry of somebody else that is not below the own
 * one, left by an earlier process whose clock was ahead, is outdone by a
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
  const version = entry.incarnation - incarnation || entry.sequence - sequence;
  if (version < 0) return;
  if (compareReports({ entry, verdict: 0 }, own) !== 0) {
    const above = Math.max(incarnation, entry.incarnation) + 1;
    writeOwnEntry(directory, { incarnation: above, sequence: 0 }, now);
  } else if (verdict > 0) {
    writeOwnEntry(directory, { incarnation, sequence: sequence + 1 }, now);
  }
}
