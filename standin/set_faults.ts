import type { Control } from "./control.ts";
import type { Faults } from "./faults.ts";

/** Replaces the faults to inject and resets the request count. */
export function setFaults(faults: Faults, control: Control): void {
  faults.control = control;
  faults.remaining = control.count ?? Infinity;
}
