import { levelKey } from "./level_key.ts";
import type { Shedding } from "./shedding.ts";

/** An admission level reported with a response. */
type Report = {
  service: string;
  daemon: string;
  level: number;
  /** Set if the daemon reports levels by department. */
  department?: string;
};

/** Stores the admission level that a daemon reported with a response. */
export function recordLevel(
  shedding: Shedding,
  report: Report,
  now: number,
): void {
  let daemons = shedding.levels.get(report.service);
  if (daemons === undefined) {
    daemons = new Map();
    shedding.levels.set(report.service, daemons);
  }
  const key = levelKey(report);
  const known = daemons.get(key);
  if (known === undefined) {
    daemons.set(key, { level: report.level, at: now, rejected: 0 });
    return;
  }
  known.level = report.level;
  known.at = now;
}
