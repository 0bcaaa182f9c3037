import type { Ticket } from "../../src/admission/ticket.ts";
import type { Server } from "./server.ts";

/** Starts and drops the requests that admission control handed out. */
export function settle(
  server: Server,
  { start, drop }: { start: Ticket[]; drop: Ticket[] },
): void {
  for (const ticket of start) resolve(server, ticket, true);
  for (const ticket of drop) resolve(server, ticket, false);
}

function resolve(server: Server, ticket: Ticket, admitted: boolean): void {
  const continuation = server.pending.get(ticket);
  server.pending.delete(ticket);
  continuation?.(admitted);
}
