import type { Control } from "./control.ts";

/** Faults that a stand-in injects, with the state of their limits. */
export type Faults = {
  control: Control;
  /** Number of requests that the mode still applies to. */
  remaining: number;
  /** Start of the current one-second window of the write limit, in ms. */
  windowStart: number;
  windowWrites: number;
};
