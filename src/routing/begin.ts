import { observationOf } from "./observation_of.ts";
import type { Routing } from "./routing.ts";

/**
 * Counts an attempt that starts at a daemon; at an ejected one whose time is
 * over it is the probe. Attempts that their execution token binds to a daemon
 * go there during its ejection too: as probes, ten of them failing would
 * prolong it from 0.5 s to 30 s.
 */
export function begin(routing: Routing, address: string, now: number): void {
  const observation = observationOf(routing, address);
  observation.inFlight += 1;
  observation.usedAt = now;
  const { ejectedUntil } = observation;
  if (ejectedUntil > 0 && now >= ejectedUntil) observation.probing = true;
}
