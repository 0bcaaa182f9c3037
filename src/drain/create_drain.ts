import type { Drain } from "./drain.ts";

/** Creates the drain state of a daemon that is not shutting down. */
export function createDrain(): Drain {
  return { phase: "serving", since: 0 };
}
