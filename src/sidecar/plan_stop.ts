import type { StopPlan } from "./stop_plan.ts";

// Clients learn within two readiness checks, two seconds, that this daemon is
// leaving; until then they still open connections.
const CLIENTS_LEAVE_MS = 2_500;
// Time for runs to end after the last server of a service has left.
const LAST_RUNS_MS = 1_000;
// Kept for closing before the process is killed.
const CLOSE_MS = 400;
// An answer takes a few ms on its way; the rest is room for a busy daemon.
const ANSWER_MS = 150;
// A grace period too short for all of these keeps at least this share of it
// for serving, and for closing at most this one.
const SERVING_SHARE = 1 / 2;
const CLOSING_SHARE = 1 / 8;

/** Plans a stop that begins at a steady time in ms, and must end in time. */
export function planStop(startedAt: number, gracePeriodMs: number): StopPlan {
  const refuseMs = Math.min(CLIENTS_LEAVE_MS, SERVING_SHARE * gracePeriodMs);
  const endMs = gracePeriodMs -
    Math.min(CLOSE_MS, CLOSING_SHARE * gracePeriodMs);
  const runsEndMs = endMs - ANSWER_MS;
  return {
    refuseAt: startedAt + refuseMs,
    leaveLatestAt: startedAt + Math.max(refuseMs, runsEndMs - LAST_RUNS_MS),
    runsEndAt: startedAt + runsEndMs,
    endAt: startedAt + endMs,
  };
}
