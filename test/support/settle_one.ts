import type { Admission } from "../../src/admission/admission.ts";
import { finish } from "../../src/admission/finish.ts";
import type { Ticket } from "../../src/admission/ticket.ts";
import type { Outcome } from "../../src/outcomes/outcome.ts";
import { ticket } from "./ticket.ts";

/** Finishes a request after 10 ms of service, which frees a slot. */
export function settleOne(
  admission: Admission,
  now: number,
  outcome: Outcome = { kind: "answered", status: 200 },
): { start: Ticket[]; drop: Ticket[] } {
  return finish(
    admission,
    { ticket: ticket(), serviceMs: 10, nestedMs: 0, outcome },
    now,
  );
}
