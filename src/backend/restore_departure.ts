import { applyDeparture } from "./apply_departure.ts";
import type { Registration } from "./registration.ts";
import { UNKNOWN_START } from "./unknown_start.ts";

/**
 * Applies a departure that was acknowledged before this process started, also
 * to a server that has announced itself since. A later start is another server.
 */
export function restoreDeparture(
  current: Registration | null,
  { id, startedAt }: { id: string; startedAt: number },
  now: number,
): Registration | null {
  const told = startedAt === UNKNOWN_START ? null : startedAt;
  // Of another server than the present one, it says nothing new.
  if (current !== null && current.id !== id) return current;
  return applyDeparture(current, { id, startedAt: told }, now);
}
