import type { Admission } from "./admission.ts";
import type { Ticket } from "./ticket.ts";

/** Periodic work: adapts level and limit, and removes expired requests. */
export function tick(
  admission: Admission,
  now: number,
): { start: Ticket[]; drop: Ticket[] } {
  const drop = admission.queue.filter((ticket) => now >= ticket.deadlineAt);
  if (drop.length > 0) {
    admission.queue = admission.queue.filter((ticket) =>
      now < ticket.deadlineAt
    );
  }
  return { start: [], drop };
}
