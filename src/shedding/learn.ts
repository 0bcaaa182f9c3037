import type { Shedding } from "./shedding.ts";

/** One admission level reported with a response. */
type Report = { service: string; daemon: string; level: number };

/** Remembers the admission level that a daemon reported with a response. */
export function learn(shedding: Shedding, report: Report, now: number): void {
  let daemons = shedding.levels.get(report.service);
  if (daemons === undefined) {
    daemons = new Map();
    shedding.levels.set(report.service, daemons);
  }
  daemons.set(report.daemon, { level: report.level, at: now });
}
