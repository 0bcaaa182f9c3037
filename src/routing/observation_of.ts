import type { Observation } from "./observation.ts";
import type { Routing } from "./routing.ts";

/** Returns the observation of a daemon, created where there is none. */
export function observationOf(routing: Routing, address: string): Observation {
  let observation = routing.observations.get(address);
  if (observation === undefined) {
    observation = {
      inFlight: 0,
      load: 0,
      loadAt: -Infinity,
      failures: 0,
      ejectedUntil: 0,
      ejections: 0,
      probing: false,
      reinstatedAt: -Infinity,
      leaving: null,
      usedAt: -Infinity,
      service: null,
    };
    routing.observations.set(address, observation);
  }
  return observation;
}
