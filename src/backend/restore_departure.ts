import { applyDeparture } from "./apply_departure.ts";
import type { Registration } from "./registration.ts";
import { UNKNOWN_START } from "./unknown_start.ts";

/**
 * Applies a departure that was acknowledged before this process started, even
 * if the server has sent heartbeats since. A server that started later is
 * another one and is unaffected.
 */
export function restoreDeparture(
  current: Registration | null,
  { id, startedAt }: { id: string; startedAt: number },
  now: number,
): Registration | null {
  const knownStart = startedAt === UNKNOWN_START ? null : startedAt;
  // The server that left has already been replaced by the current one.
  if (current !== null && current.id !== id) return current;
  return applyDeparture(current, { id, startedAt: knownStart }, now);
}
