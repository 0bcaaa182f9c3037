import type { Demand } from "./demand.ts";
import type { Limiter } from "./limiter.ts";
import type { Queue } from "./queue.ts";
import type { Ticket } from "./ticket.ts";

/** State of the admission control in front of one backend server. */
export type Admission = {
  /** Slots announced by the backend server. */
  slots: number;
  /** Current concurrency limit, at most `slots`. */
  limit: number;
  inFlight: number;
  queue: Queue;
  /**
   * Upper bound of the queue length, whatever the number of slots; set by
   * `[limits] queue`.
   */
  maxQueue: number;
  /**
   * Evicted from the queue; returned as `drop` by the next `finish` or `tick`.
   */
  evicted: Ticket[];
  /** Requests below this priority are rejected. */
  level: number;
  limiter: Limiter;
  demand: Demand;
};
