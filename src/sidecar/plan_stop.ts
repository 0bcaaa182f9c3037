import type { StopPlan } from "./stop_plan.ts";

// Clients notice within two readiness checks (2 s) that this daemon is
// stopping; until then they still open connections.
const CLIENT_DRAIN_MS = 2_500;
// Time for requests to finish after the last server of a service has left.
const LAST_SERVER_DRAIN_MS = 1_000;
// Reserved for closing connections before the process is killed.
const CLOSE_MS = 400;
// A response is delivered within a few ms; the rest is margin for a busy
// daemon.
const RESPONSE_DELIVERY_MS = 150;
// Maximum shares of the grace period for CLIENT_DRAIN_MS and CLOSE_MS, which
// apply if it is short.
const SERVING_SHARE = 1 / 2;
const CLOSING_SHARE = 1 / 8;

/** Schedules a stop from a steady time in ms to fit within the grace period. */
export function planStop(startedAt: number, gracePeriodMs: number): StopPlan {
  const refuseMs = Math.min(CLIENT_DRAIN_MS, SERVING_SHARE * gracePeriodMs);
  const endMs = gracePeriodMs -
    Math.min(CLOSE_MS, CLOSING_SHARE * gracePeriodMs);
  const runsEndMs = endMs - RESPONSE_DELIVERY_MS;
  return {
    refuseAt: startedAt + refuseMs,
    leaveLatestAt: startedAt +
      Math.max(refuseMs, runsEndMs - LAST_SERVER_DRAIN_MS),
    runsEndAt: startedAt + runsEndMs,
    endAt: startedAt + endMs,
  };
}
