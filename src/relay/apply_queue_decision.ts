import type { Ticket } from "../admission/ticket.ts";

/** Carries out what admission control decided about queued requests. */
export function applyQueueDecision(
  { start, drop }: { start: Ticket[]; drop: Ticket[] },
  now: number,
): void {
  for (const ticket of start) ticket.start();
  for (const ticket of drop) {
    // What has time left was evicted by a more important request.
    ticket.drop(now >= ticket.deadlineAt ? "deadline" : "overload");
  }
}
