import type { Control } from "./control.ts";

/** How a stand-in misbehaves at present. */
export type Faults = {
  control: Control;
  /** Requests the mode still applies to. */
  remaining: number;
  /** Start of the present second of the write limit, in ms. */
  windowStart: number;
  windowWrites: number;
};
