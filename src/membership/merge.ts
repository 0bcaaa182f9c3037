import type { Directory } from "./directory.ts";
import type { Entry } from "./entry.ts";
import { mergeReports } from "./merge_reports.ts";

/**
 * Merges entries of other daemons; returns those that replaced older ones or
 * were new.
 */
export function merge(
  directory: Directory,
  entries: readonly Entry[],
  now: number,
): Entry[] {
  const reports = entries.map((entry) => ({ entry, verdict: 0 as const }));
  return mergeReports(directory, reports, now).applied;
}
