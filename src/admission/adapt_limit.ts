import type { Admission } from "./admission.ts";
import { LIMIT_ALGORITHMS } from "./limit_algorithms.ts";
import { minLimit } from "./min_limit.ts";
import type { Limiter } from "./limiter.ts";

/**
 * Below the tick interval of 50 ms, so that a tick that comes early still
 * adapts.
 */
const MIN_INTERVAL_MS = 40;
const MAX_INTERVAL_MS = 200;
/**
 * Occasional lost responses are normal at scale and do not indicate overload.
 */
const MAX_FAILURE_SHARE = 0.02;
/**
 * Highest share per second by which the baseline follows a server that became
 * slower. A permanent change is accepted after about half a minute.
 */
const BASELINE_RISE_PER_S = 0.03;
/** Weight of a new, lower mean in the baseline. */
const BASELINE_FALL_WEIGHT = 0.3;

/** Adapts the concurrency limit, at most once per interval and round trip. */
export function adaptLimit(admission: Admission, now: number): void {
  const { limiter, slots } = admission;
  const elapsedMs = now - limiter.adjustedAt;
  // At most one decrease per round trip: later results may stem from the old
  // limit.
  const roundTripMs = Math.min(MAX_INTERVAL_MS, limiter.baselineMs);
  if (elapsedMs < Math.max(MIN_INTERVAL_MS, roundTripMs)) return;
  limiter.adjustedAt = now;
  const total = limiter.responses + limiter.failures;
  if (total === 0) return;
  const meanMs = limiter.responses === 0
    ? 0
    : limiter.sumMs / limiter.responses;
  updateBaseline(limiter, meanMs, Math.min(elapsedMs, 1000));
  const unclampedLimit = LIMIT_ALGORITHMS[limiter.algorithm](limiter, {
    meanMs,
    failing: limiter.failures > MAX_FAILURE_SHARE * total,
    used: limiter.peakInFlight * 2 >= limiter.exactLimit,
    slots,
  });
  limiter.exactLimit = Math.min(
    slots,
    Math.max(minLimit(slots), unclampedLimit),
  );
  admission.limit = Math.max(1, Math.floor(limiter.exactLimit));
  limiter.responses = limiter.sumMs = limiter.failures = 0;
  limiter.peakInFlight = admission.inFlight;
}

function updateBaseline(
  limiter: Limiter,
  meanMs: number,
  elapsedMs: number,
): void {
  if (meanMs === 0) return;
  if (limiter.baselineMs === 0) limiter.baselineMs = meanMs;
  else if (meanMs < limiter.baselineMs) {
    limiter.baselineMs += BASELINE_FALL_WEIGHT * (meanMs - limiter.baselineMs);
  } else {
    const max = limiter.baselineMs *
      (1 + BASELINE_RISE_PER_S * elapsedMs / 1000);
    limiter.baselineMs = Math.min(meanMs, max);
  }
}
