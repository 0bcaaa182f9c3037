import type { Random } from "../core/random.ts";

const MIN_MS = 50;
// Clients that were refused together return spread over this part of the time.
const JITTER_SHARE = 0.6;
// Clients wait at most a third of the time they have left.
const MAX_WAIT_SHARE = 1 / 3;

/**
 * Returns after which time a refused client should retry, in ms: as late as an
 * answer can still meet the target latency, so that the load has time to fall,
 * but not before capacity is expected in `waitMs`.
 */
export function retryAfter(
  { targetLatencyMs, runMs, remainingMs, waitMs }: {
    targetLatencyMs: number;
    /** Expected run time of the request. */
    runMs: number;
    /** Time until the client stops waiting. */
    remainingMs: number;
    waitMs: number;
  },
  random: Random,
): number {
  const latestMs = Math.max(targetLatencyMs - runMs, waitMs, MIN_MS);
  const delayMs = Math.min(latestMs, remainingMs * MAX_WAIT_SHARE);
  return delayMs * (1 - JITTER_SHARE * random());
}
