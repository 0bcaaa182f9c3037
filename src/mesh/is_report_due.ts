import type { ReportState } from "./report_state.ts";

// Below this load a server accepts every request, so that changes of its load
// need no report.
const HIGH_LOAD = 0.6;
// Smaller relative changes of the mean run time are not reported.
const MIN_RUN_TIME_CHANGE = 0.2;
// A peer that sent a request within this time is active. Idle peers get reports
// at a longer interval, since there are many of them in a large fleet.
const ACTIVE_WINDOW_MS = 2_000;
const ACTIVE_REPORT_INTERVAL_MS = 150;
const MIN_IDLE_REPORT_INTERVAL_MS = 800;
// Limits the total rate of reports to idle peers in a large fleet.
const MAX_IDLE_REPORTS_PER_S = 50;
const MS_PER_S = 1_000;

/** Whether a peer is due for a report on the own backend server. */
export function isReportDue(
  last: ReportState,
  { load, runMs, links }: {
    load: number;
    runMs: number;
    /** Number of daemons that have a link to this one. */
    links: number;
  },
  now: number,
): boolean {
  const loadChanged = load !== last.load &&
    Math.max(load, last.load) > HIGH_LOAD;
  const runTimeChanged =
    Math.abs(runMs - last.runMs) > MIN_RUN_TIME_CHANGE * last.runMs;
  if (!loadChanged && !runTimeChanged) return false;
  const active = now - last.requestedAt < ACTIVE_WINDOW_MS;
  const idleIntervalMs = Math.max(
    MIN_IDLE_REPORT_INTERVAL_MS,
    links * MS_PER_S / MAX_IDLE_REPORTS_PER_S,
  );
  return now - last.at >= (active ? ACTIVE_REPORT_INTERVAL_MS : idleIntervalMs);
}
