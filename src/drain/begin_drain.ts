import type { Drain } from "./drain.ts";

/** Begins a planned shutdown; returns whether it was the first to do so. */
export function beginDrain(drain: Drain, now: number): boolean {
  if (drain.phase !== "serving") return false;
  drain.phase = "leaving";
  drain.since = now;
  return true;
}
