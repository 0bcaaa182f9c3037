import type { ClassQueue } from "./class_queue.ts";
import type { Ticket } from "./ticket.ts";

/** Requests that wait for a slot. */
export type Queue = {
  size: number;
  /** By importance rank. */
  classQueues: ClassQueue[];
  byId: Map<string, Ticket>;
  /** Weights of departments; 1 where not listed. */
  weights: Map<string, number>;
};
