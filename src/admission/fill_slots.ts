import type { Admission } from "./admission.ts";
import { dequeue } from "./dequeue.ts";
import type { Ticket } from "./ticket.ts";

/**
 * Assigns free slots to queued requests. Returns the requests to start, whose
 * slots are already counted as in flight, and the requests to drop: evicted
 * ones, and expired ones, which would only block a slot.
 */
export function fillSlots(
  admission: Admission,
  now: number,
): { start: Ticket[]; drop: Ticket[] } {
  const start: Ticket[] = [];
  const drop = admission.evicted;
  admission.evicted = [];
  while (admission.inFlight < admission.limit) {
    const ticket = dequeue(admission.queue);
    if (ticket === undefined) break;
    if (now >= ticket.deadlineAt) {
      drop.push(ticket);
      continue;
    }
    admission.inFlight += 1;
    start.push(ticket);
  }
  const { limiter } = admission;
  limiter.peakInFlight = Math.max(limiter.peakInFlight, admission.inFlight);
  return { start, drop };
}
