import type { Band } from "./band.ts";
import type { Ticket } from "./ticket.ts";

/** Requests that wait for a slot. */
export type Queue = {
  size: number;
  /** By importance rank. */
  bands: Band[];
  byId: Map<string, Ticket>;
  /** Weights of departments; 1 where not listed. */
  weights: Map<string, number>;
};
