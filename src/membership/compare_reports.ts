import { packReport } from "./pack_report.ts";
import type { Report } from "./report.ts";

/**
 * Orders two reports on one address by (incarnation, sequence, verdict). Two
 * processes that are misconfigured with the same address can write the same
 * version with different contents; the serialized contents then decide, so that
 * every daemon keeps the same entry.
 */
export function compareReports(one: Report, two: Report): number {
  return one.entry.incarnation - two.entry.incarnation ||
    one.entry.sequence - two.entry.sequence ||
    compareText(one, two) ||
    one.verdict - two.verdict;
}

function compareText(one: Report, two: Report): number {
  if (one.entry === two.entry) return 0;
  const left = JSON.stringify(packReport({ entry: one.entry, verdict: 0 }));
  const right = JSON.stringify(packReport({ entry: two.entry, verdict: 0 }));
  return left === right ? 0 : left < right ? -1 : 1;
}
