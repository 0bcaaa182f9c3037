import { observe } from "./observe.ts";
import type { Routing } from "./routing.ts";

/** Counts an attempt that starts at a daemon; at an ejected one it is the probe. */
export function begin(routing: Routing, address: string, now: number): void {
  const observation = observe(routing, address);
  observation.inFlight += 1;
  observation.usedAt = now;
  if (observation.ejectedUntil > 0) observation.probing = true;
}
