import type { Report } from "./report.ts";

/**
 * Returns whether a member has neither departed nor failed. Digests cover only
 * live members.
 */
export function isLive(report: Report): boolean {
  return report.entry.state !== "gone" && report.verdict !== 2;
}
