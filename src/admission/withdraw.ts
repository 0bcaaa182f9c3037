import type { Admission } from "./admission.ts";

/** Removes a queued request whose caller gave up; returns whether it was queued. */
export function withdraw(admission: Admission, id: string): boolean {
  const index = admission.queue.findIndex((ticket) => ticket.id === id);
  if (index < 0) return false;
  admission.queue.splice(index, 1);
  return true;
}
