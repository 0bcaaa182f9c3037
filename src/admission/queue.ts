import type { ClassQueue } from "./class_queue.ts";
import type { Ticket } from "./ticket.ts";

/** Requests that wait for a slot. */
export type Queue = {
  size: number;
  /** Indexed by importance rank. */
  classQueues: ClassQueue[];
  /** By attempt id. */
  byId: Map<string, Ticket>;
  /** Weight by department; 1 for a department without an entry. */
  weights: Map<string, number>;
};
