import type { Shedding } from "./shedding.ts";

/** Creates shedding state that knows no level yet. */
export function createShedding(): Shedding {
  return { levels: new Map(), rejected: new Map() };
}
