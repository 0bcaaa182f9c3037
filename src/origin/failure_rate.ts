import type { Observation } from "./observation.ts";

// Time constant with which the rate decays while there are no results.
const DECAY_MS = 5_000;

/** Returns the decayed share of recent requests to a server that failed. */
export function failureRate(
  observation: Observation | undefined,
  serverId: string,
  now: number,
): number {
  if (observation === undefined || observation.serverId !== serverId) return 0;
  return observation.failureRate *
    Math.exp(-(now - observation.updatedAt) / DECAY_MS);
}
