import type { Routing } from "./routing.ts";

const PLAN_LIFETIME_MS = 300_000;
const OBSERVATION_LIFETIME_MS = 60_000;

/**
 * Forgets services that are not called any more and daemons that are no
 * candidate of any service; called every few seconds.
 */
export function sweepObservations(routing: Routing, now: number): void {
  for (const [service, plan] of routing.pools) {
    if (now - plan.usedAt < PLAN_LIFETIME_MS) continue;
    for (const { observation } of plan.members) observation.service = null;
    routing.pools.delete(service);
  }
  for (const [address, observation] of routing.observations) {
    if (
      observation.service === null && observation.inFlight === 0 &&
      now - observation.usedAt >= OBSERVATION_LIFETIME_MS
    ) routing.observations.delete(address);
  }
}
