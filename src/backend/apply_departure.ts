import type { Departure } from "./departure.ts";
import type { Registration } from "./registration.ts";
import { UNKNOWN_START } from "./unknown_start.ts";

/**
 * Applies a departure; one of an earlier server or start is ignored. A
 * departure of a server that is not registered yet is recorded too, so that
 * neither a health check nor a late heartbeat puts the server into use.
 */
export function applyDeparture(
  current: Registration | null,
  { id, startedAt }: Departure,
  now: number,
): Registration | null {
  const knownStart = current?.startedAt ?? UNKNOWN_START;
  if (startedAt !== null && startedAt < knownStart) return current;
  if (current !== null && current.id === id) {
    return {
      ...current,
      startedAt: startedAt ?? knownStart,
      leaving: true,
      departed: true,
    };
  }
  if (current !== null && (startedAt === null || startedAt === knownStart)) {
    return current;
  }
  return {
    id,
    startedAt: startedAt ?? UNKNOWN_START,
    sequence: 0,
    slots: 1,
    leaving: true,
    departed: true,
    coldUntil: now,
    heardAt: now,
  };
}
