import type { Drain } from "./drain.ts";

/**
 * Time for which a leaving daemon keeps rejecting new requests, so that daemons
 * that missed the membership update learn of it from the rejections.
 */
const LINGER_MS = 2_000;

/**
 * Advances the drain: to `closing` after the linger time, when the daemon stops
 * accepting connections from callers, and to `drained` once nothing is in
 * flight. There is no time limit, because a planned shutdown aborts no request
 * and every request has its own deadline.
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
