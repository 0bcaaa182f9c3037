import type { ReportState } from "./report_state.ts";

// Below this load a server takes all that comes, whatever its load is.
const HIGH_LOAD = 0.6;
// A run time that changes by this share is told as well.
const RUN_TIME_CHANGE = 0.2;
// A daemon that sent a request within this time learns of a changed load sooner
// than the others, of which there are many in a large fleet.
const ACTIVE_MS = 2_000;
const ACTIVE_REPORT_MS = 150;
const REPORT_MS = 800;
// All those together cost at most this many messages a second.
const REPORTS_PER_S = 50;
const MS_PER_S = 1_000;

/** Whether a daemon must be told how the backend server does now. */
export function isReportDue(
  told: ReportState,
  { load, runMs, others }: {
    load: number;
    runMs: number;
    /** Daemons that have a link to this one. */
    others: number;
  },
  now: number,
): boolean {
  const loaded = load !== told.load && Math.max(load, told.load) > HIGH_LOAD;
  const slower = Math.abs(runMs - told.runMs) > RUN_TIME_CHANGE * told.runMs;
  if (!loaded && !slower) return false;
  const active = now - told.requestedAt < ACTIVE_MS;
  const restMs = Math.max(REPORT_MS, others * MS_PER_S / REPORTS_PER_S);
  return now - told.at >= (active ? ACTIVE_REPORT_MS : restMs);
}
