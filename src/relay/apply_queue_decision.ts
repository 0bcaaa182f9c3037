import type { Ticket } from "../admission/ticket.ts";

/** Starts and drops the queued requests that admission control has selected. */
export function applyQueueDecision(
  { start, drop }: { start: Ticket[]; drop: Ticket[] },
  now: number,
): void {
  for (const ticket of start) ticket.start();
  for (const ticket of drop) {
    // A request with time left was evicted by a more important one.
    ticket.drop(now >= ticket.deadlineAt ? "deadline" : "overload");
  }
}
