import { observationOf } from "./observation_of.ts";
import type { Routing } from "./routing.ts";

/**
 * Counts the start of an attempt at a daemon. At an ejected daemon it is the
 * probe, but only once the ejection has run out: attempts that an execution
 * token binds to the daemon go there during the ejection too, and if they were
 * probes, ten that fail would prolong it from 0.5 s to 30 s.
 */
export function begin(routing: Routing, address: string, now: number): void {
  const observation = observationOf(routing, address);
  observation.inFlight += 1;
  observation.usedAt = now;
  const { ejectedUntil } = observation;
  if (ejectedUntil > 0 && now >= ejectedUntil) observation.probing = true;
}
