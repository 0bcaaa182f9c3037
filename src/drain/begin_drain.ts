import type { Drain } from "./drain.ts";

/** Begins a planned shutdown. Returns false if one was already begun. */
export function beginDrain(drain: Drain, now: number): boolean {
  if (drain.phase !== "serving") return false;
  drain.phase = "leaving";
  drain.since = now;
  return true;
}
