import type { Routing } from "./routing.ts";

const POOL_LIFETIME_MS = 300_000;
const OBSERVATION_LIFETIME_MS = 60_000;

/**
 * Removes the pools of services that are no longer called, and observations of
 * daemons that are not a candidate of any service. Called every few seconds.
 */
export function sweepObservations(routing: Routing, now: number): void {
  for (const [service, pool] of routing.pools) {
    if (now - pool.usedAt < POOL_LIFETIME_MS) continue;
    for (const { observation } of pool.members) observation.service = null;
    routing.pools.delete(service);
  }
  for (const [address, observation] of routing.observations) {
    if (
      observation.service === null && observation.inFlight === 0 &&
      now - observation.usedAt >= OBSERVATION_LIFETIME_MS
    ) routing.observations.delete(address);
  }
}
