import type { Observation } from "./observation.ts";

// Without results, a bad record fades in this time.
const FADE_MS = 5_000;

/** Returns the share of recent requests to a server that failed. */
export function failingShare(
  observation: Observation | undefined,
  serverId: string,
  now: number,
): number {
  if (observation === undefined || observation.serverId !== serverId) return 0;
  return observation.failing * Math.exp(-(now - observation.seenAt) / FADE_MS);
}
