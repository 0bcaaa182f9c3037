import type { Admission } from "./admission.ts";
import { remove } from "./remove.ts";

/**
 * Removes a queued request that its caller cancelled. Returns whether it was
 * queued.
 */
export function withdraw(admission: Admission, id: string): boolean {
  const ticket = admission.queue.byId.get(id);
  if (ticket !== undefined) return remove(admission.queue, ticket);
  // An evicted request is no longer queued but not yet returned as `drop`.
  const index = admission.evicted.findIndex((evicted) => evicted.id === id);
  if (index < 0) return false;
  admission.evicted.splice(index, 1);
  return true;
}
