import type { Drain } from "./drain.ts";

/**
 * Time for which a leaving daemon stays to reject new work, so that daemons
 * that missed the news learn it from the rejection.
 */
const LINGER_MS = 2_000;

/**
 * Moves on to `closing` once the linger time is over, from when the daemon takes
 * no more connections of callers, and to `drained` once nothing is in flight.
 * There is no upper bound: a planned shutdown cuts off no request, and every
 * request has a deadline of its own.
 */
export function advanceDrain(
  drain: Drain,
  inFlight: number,
  now: number,
): Drain["phase"] {
  if (drain.phase === "leaving" && now - drain.since >= LINGER_MS) {
    drain.phase = "closing";
  }
  if (drain.phase === "closing" && inFlight === 0) drain.phase = "drained";
  return drain.phase;
}
