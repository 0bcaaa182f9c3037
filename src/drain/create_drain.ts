import type { Drain } from "./drain.ts";

/** Creates the drain state of a daemon that serves. */
export function createDrain(): Drain {
  return { phase: "serving", since: 0 };
}
