import type { Ticket } from "../admission/ticket.ts";

/** Carries out what admission control decided about queued requests. */
export function startTickets(
  { start, drop }: { start: Ticket[]; drop: Ticket[] },
): void {
  for (const ticket of start) ticket.start();
  for (const ticket of drop) ticket.drop("deadline");
}
