import { depart } from "./depart.ts";
import type { Registration } from "./registration.ts";

/**
 * Applies a departure that was acknowledged before this process started, also
 * to a server that has announced itself since. A later start is another server.
 */
export function recall(
  current: Registration | null,
  departure: { id: string; startedAt: number },
  now: number,
): Registration | null {
  const { id, startedAt } = departure;
  if (current === null) {
    return {
      id,
      startedAt,
      sequence: 0,
      slots: 1,
      leaving: true,
      departed: true,
      coldUntil: now,
      heardAt: now,
    };
  }
  return current.startedAt > startedAt ? current : depart(current, departure);
}
