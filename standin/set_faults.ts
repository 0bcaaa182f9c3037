import type { Control } from "./control.ts";
import type { Faults } from "./faults.ts";

/** Puts a control in effect, in place of the one before. */
export function setFaults(faults: Faults, control: Control): void {
  faults.control = control;
  faults.remaining = control.count ?? Infinity;
}
