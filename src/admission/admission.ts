import type { Ticket } from "./ticket.ts";

/** State of the admission control in front of one backend server. */
export type Admission = {
  /** Slots announced by the backend server. */
  slots: number;
  /** Current concurrency limit, at most `slots`. */
  limit: number;
  inFlight: number;
  queue: Ticket[];
  /** Requests below this priority are rejected. */
  level: number;
};
