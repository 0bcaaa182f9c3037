import type { Admission } from "./admission.ts";
import { LIMIT_ALGORITHMS } from "./limit_algorithms.ts";
import { minLimit } from "./min_limit.ts";
import type { Limiter } from "./limiter.ts";

/** Somewhat below the interval of ticks, which are not exact. */
const INTERVAL_MS = 40;
const LONGEST_INTERVAL_MS = 200;
/** Single lost responses are normal at scale and are no sign of overload. */
const FAILURE_SHARE = 0.02;
/**
 * The baseline follows a slower server by this share per second, so that a
 * permanent change is accepted after about half a minute.
 */
const DRIFT_PER_S = 0.03;
const FALL = 0.3;

/** Adapts the concurrency limit, at most once per interval. */
export function adaptLimit(admission: Admission, now: number): void {
  const { limiter, slots } = admission;
  const elapsedMs = now - limiter.adjustedAt;
  // One decrease per round trip: later signals may stem from the old limit.
  const roundTripMs = Math.min(LONGEST_INTERVAL_MS, limiter.baselineMs);
  if (elapsedMs < Math.max(INTERVAL_MS, roundTripMs)) return;
  limiter.adjustedAt = now;
  const total = limiter.responses + limiter.failures;
  if (total === 0) return;
  const meanMs = limiter.responses === 0
    ? 0
    : limiter.sumMs / limiter.responses;
  followBaseline(limiter, meanMs, Math.min(elapsedMs, 1000));
  const exact = LIMIT_ALGORITHMS[limiter.algorithm](limiter, {
    meanMs,
    failing: limiter.failures > FAILURE_SHARE * total,
    used: limiter.peakInFlight * 2 >= limiter.exactLimit,
    slots,
  });
  limiter.exactLimit = Math.min(slots, Math.max(minLimit(slots), exact));
  admission.limit = Math.max(1, Math.floor(limiter.exactLimit));
  limiter.responses = limiter.sumMs = limiter.failures = 0;
  limiter.peakInFlight = admission.inFlight;
}

function followBaseline(
  limiter: Limiter,
  meanMs: number,
  elapsedMs: number,
): void {
  if (meanMs === 0) return;
  if (limiter.baselineMs === 0) limiter.baselineMs = meanMs;
  else if (meanMs < limiter.baselineMs) {
    limiter.baselineMs += FALL * (meanMs - limiter.baselineMs);
  } else {
    const most = limiter.baselineMs * (1 + DRIFT_PER_S * elapsedMs / 1000);
    limiter.baselineMs = Math.min(meanMs, most);
  }
}
