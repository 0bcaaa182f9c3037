import type { Probe } from "./probe.ts";
import type { Registration } from "./registration.ts";

// Before any start that a heartbeat can tell.
const UNKNOWN_START = 0;

/**
 * Takes a healthy server into use before its first heartbeat reaches this
 * process. Whatever is known already goes first.
 */
export function adopt(
  current: Registration | null,
  { id, slots }: Probe,
  now: number,
): Registration {
  return current ?? {
    id,
    startedAt: UNKNOWN_START,
    sequence: 0,
    slots,
    leaving: false,
    departed: false,
    coldUntil: now,
    heardAt: now,
  };
}
