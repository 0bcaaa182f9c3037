import type { Observation } from "./observation.ts";

// Without results, a bad record fades in this time.
const FADE_MS = 5_000;

/** Returns the share of recent requests to a server that failed. */
export function failureRate(
  observation: Observation | undefined,
  serverId: string,
  now: number,
): number {
  if (observation === undefined || observation.serverId !== serverId) return 0;
  return observation.failureRate *
    Math.exp(-(now - observation.updatedAt) / FADE_MS);
}
