import type { Probe } from "./probe.ts";
import type { Registration } from "./registration.ts";
import { UNKNOWN_START } from "./unknown_start.ts";

/**
 * Takes a healthy server into use before its first heartbeat reaches this
 * process. Whatever is known already goes first.
 */
export function applyProbe(
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
