import type { Outcome } from "../outcomes/outcome.ts";
import type { Admission } from "./admission.ts";
import type { Ticket } from "./ticket.ts";

/** How a request that held a slot ended. */
type Ending = { ticket: Ticket; serviceMs: number; outcome: Outcome };

/**
 * Frees the slot of a finished request. Returns the queued requests to start,
 * whose slots are taken already, and the ones to drop.
 */
export function finish(
  admission: Admission,
  _ending: Ending,
  now: number,
): { start: Ticket[]; drop: Ticket[] } {
  admission.inFlight -= 1;
  const start: Ticket[] = [];
  const drop: Ticket[] = [];
  while (admission.inFlight < admission.limit) {
    const ticket = admission.queue.shift();
    if (ticket === undefined) break;
    if (now >= ticket.deadlineAt) {
      drop.push(ticket);
      continue;
    }
    admission.inFlight += 1;
    start.push(ticket);
  }
  return { start, drop };
}
