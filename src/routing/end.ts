import type { Outcome } from "../outcomes/outcome.ts";
import { observe } from "./observe.ts";
import type { Routing } from "./routing.ts";

/** How an attempt at a daemon ended. */
type Ending = {
  address: string;
  outcome: Outcome;
  /** Load reported with the response, if any. */
  load: number | null;
};

/** Counts an attempt that ended and learns from how it ended. */
export function end(routing: Routing, ending: Ending, now: number): void {
  const observation = observe(routing, ending.address);
  observation.inFlight -= 1;
  if (ending.load !== null) {
    observation.load = ending.load;
    observation.loadAt = now;
  }
}
