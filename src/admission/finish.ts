import type { Outcome } from "../outcomes/outcome.ts";
import type { Admission } from "./admission.ts";
import { fillSlots } from "./fill_slots.ts";
import type { Limiter } from "./limiter.ts";
import type { Ticket } from "./ticket.ts";

/** How a request that held a slot ended. */
type Ending = {
  ticket: Ticket;
  /** How long it held the slot, in ms. */
  serviceMs: number;
  /** Part of that in which it waited for nested calls, in ms. */
  nestedMs: number;
  outcome: Outcome;
};

/** Weight of the newest answer in the mean service time. */
const NEWEST = 0.05;

/**
 * Frees the slot of a finished request. Returns the queued requests to start,
 * whose slots are taken already, and the ones to drop, expired or evicted.
 */
export function finish(
  admission: Admission,
  ending: Ending,
  now: number,
): { start: Ticket[]; drop: Ticket[] } {
  admission.inFlight = Math.max(0, admission.inFlight - 1);
  if (ending.outcome.kind === "answered") {
    measure(admission.limiter, ending);
  } else if (isFailure(ending)) {
    admission.limiter.failures += 1;
  }
  return fillSlots(admission, now);
}

function measure(
  limiter: Limiter,
  { serviceMs, nestedMs }: Ending,
): void {
  limiter.responses += 1;
  limiter.sumMs += serviceMs - nestedMs;
  limiter.serviceMs = limiter.serviceMs === 0
    ? serviceMs
    : limiter.serviceMs + NEWEST * (serviceMs - limiter.serviceMs);
}

/**
 * A caller that gives up says nothing about the backend server, nor does a
 * deadline that passed while it mostly waited for another service.
 */
function isFailure({ outcome, serviceMs, nestedMs }: Ending): boolean {
  if (outcome.kind === "unknown") {
    const below = outcome.reason === "deadline" && nestedMs > serviceMs / 2;
    return outcome.reason !== "cancelled" && !below;
  }
  return outcome.kind === "not-run" && outcome.reason === "server-shed";
}
