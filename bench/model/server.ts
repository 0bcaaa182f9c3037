import type { Admission } from "../../src/admission/admission.ts";
import type { Ticket } from "../../src/admission/ticket.ts";
import type { Random } from "../../src/core/random.ts";
import type { Calendar } from "./calendar.ts";

/** A backend server in the model with its admission control. */
export type Server = {
  calendar: Calendar;
  admission: Admission;
  /** Service time of a request that starts now, in ms; 0 to shed it. */
  serviceMs: (inFlight: number, now: number) => number;
  random: Random;
  /** What to do when a queued request starts or is dropped. */
  pending: Map<Ticket, (admitted: boolean) => void>;
  next: number;
  /** Plain first-in-first-out queue in place of admission control, if any. */
  backlog: Backlog | null;
};

/** Unbounded queue in front of a fixed number of slots. */
type Backlog = { free: number; head: number; waiting: (() => void)[] };
