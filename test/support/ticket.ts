import type { Ticket } from "../../src/admission/ticket.ts";

let next = 0;

/** Returns a ticket with a unique id and, by default, no deadline. */
export function ticket(given: Partial<Ticket> = {}): Ticket {
  next += 1;
  return {
    id: `attempt-${next}`,
    priority: 0,
    department: "harvest",
    deadlineAt: Infinity,
    start: () => {},
    drop: () => {},
    ...given,
  };
}
