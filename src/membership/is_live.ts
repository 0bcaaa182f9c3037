import type { Report } from "./report.ts";

/** Returns whether a member counts as present; only live members are digested. */
export function isLive(report: Report): boolean {
  return report.entry.state !== "gone" && report.verdict !== 2;
}
