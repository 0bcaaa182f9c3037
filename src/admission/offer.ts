import type { Admission } from "./admission.ts";
import type { Ticket } from "./ticket.ts";

/** What admission control did with a request. */
type Decision =
  | { kind: "run" }
  | { kind: "queued" }
  | { kind: "rejected"; reason: "overload" | "deadline" };

const QUEUE_PER_SLOT = 1;

/** Takes a request: runs it, queues it or rejects it. Starts nothing itself. */
export function offer(
  admission: Admission,
  ticket: Ticket,
  now: number,
): Decision {
  if (now >= ticket.deadlineAt) return { kind: "rejected", reason: "deadline" };
  if (ticket.priority < admission.level) {
    return { kind: "rejected", reason: "overload" };
  }
  if (admission.inFlight < admission.limit) {
    admission.inFlight += 1;
    return { kind: "run" };
  }
  if (admission.queue.length >= admission.slots * QUEUE_PER_SLOT) {
    return { kind: "rejected", reason: "overload" };
  }
  admission.queue.push(ticket);
  return { kind: "queued" };
}
