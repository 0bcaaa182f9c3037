import type { Probe } from "./probe.ts";
import type { Registration } from "./registration.ts";
import { UNKNOWN_START } from "./unknown_start.ts";

/**
 * Registers a server that passed a health check before its first heartbeat
 * reached this process. An existing registration takes precedence.
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
