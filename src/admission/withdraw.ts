import type { Admission } from "./admission.ts";
import { remove } from "./remove.ts";

/** Removes a queued request whose caller gave up; returns whether it was queued. */
export function withdraw(admission: Admission, id: string): boolean {
  const ticket = admission.queue.byId.get(id);
  if (ticket !== undefined) return remove(admission.queue, ticket);
  // An evicted request holds no slot either until it is handed out.
  const index = admission.evicted.findIndex((evicted) => evicted.id === id);
  if (index < 0) return false;
  admission.evicted.splice(index, 1);
  return true;
}
