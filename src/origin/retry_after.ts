import type { Random } from "../core/random.ts";

const LEAST_MS = 50;
// Clients that were refused together return spread over this part of the time.
const SPREAD = 0.6;
// Clients wait at most a third of the time they have left.
const LONGEST_SHARE = 1 / 3;

/**
 * Returns when a refused client shall come back, in ms: as late as still lets
 * its answer be in time, so that the load has most time to fall, but not
 * before `roomMs`, when room is expected.
 */
export function retryAfter(
  { targetLatencyMs, runMs, remainingMs, waitMs: roomMs }: {
    targetLatencyMs: number;
    /** Time that a run of the request takes. */
    runMs: number;
    /** Time until the client gives up. */
    remainingMs: number;
    waitMs: number;
  },
  random: Random,
): number {
  const inTime = Math.max(targetLatencyMs - runMs, roomMs, LEAST_MS);
  const longest = Math.min(inTime, remainingMs * LONGEST_SHARE);
  return longest * (1 - SPREAD * random());
}
