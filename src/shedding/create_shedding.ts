import type { Shedding } from "./shedding.ts";

/** Creates shedding state without any reported levels. */
export function createShedding(): Shedding {
  return { levels: new Map(), rejected: new Map() };
}
