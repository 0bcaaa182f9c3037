import type { Outcome } from "../outcomes/outcome.ts";
import type { Admission } from "./admission.ts";
import { fillSlots } from "./fill_slots.ts";
import type { Limiter } from "./limiter.ts";
import type { Ticket } from "./ticket.ts";

/** How a request that held a slot ended. */
type Completion = {
  ticket: Ticket;
  /** How long it held the slot, in ms. */
  serviceMs: number;
  /** Part of `serviceMs` spent waiting for nested calls, in ms. */
  nestedMs: number;
  outcome: Outcome;
};

/** Weight of the latest response in the mean service time. */
const LATEST_WEIGHT = 0.05;

/**
 * Releases the slot of a finished request. Returns the queued requests to
 * start, whose slots are already counted as in flight, and the requests to
 * drop, expired or evicted.
 */
export function finish(
  admission: Admission,
  completion: Completion,
  now: number,
): { start: Ticket[]; drop: Ticket[] } {
  admission.inFlight = Math.max(0, admission.inFlight - 1);
  if (completion.outcome.kind === "answered") {
    recordServiceTime(admission.limiter, completion);
  } else if (isFailure(completion)) {
    admission.limiter.failures += 1;
  }
  return fillSlots(admission, now);
}

function recordServiceTime(
  limiter: Limiter,
  { serviceMs, nestedMs }: Completion,
): void {
  limiter.responses += 1;
  limiter.sumMs += serviceMs - nestedMs;
  limiter.serviceMs = limiter.serviceMs === 0
    ? serviceMs
    : limiter.serviceMs + LATEST_WEIGHT * (serviceMs - limiter.serviceMs);
}

/**
 * Whether the outcome indicates an overloaded backend server. A cancellation by
 * the caller does not, nor does a deadline that passed while the request mostly
 * waited for nested calls.
 */
function isFailure({ outcome, serviceMs, nestedMs }: Completion): boolean {
  if (outcome.kind === "unknown") {
    const causedByNested = outcome.reason === "deadline" &&
      nestedMs > serviceMs / 2;
    return outcome.reason !== "cancelled" && !causedByNested;
  }
  return outcome.kind === "not-run" && outcome.reason === "server-shed";
}
