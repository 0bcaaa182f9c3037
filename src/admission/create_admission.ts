import type { Admission } from "./admission.ts";

/** Creates admission control for a backend server with so many slots. */
export function createAdmission(slots: number): Admission {
  return { slots, limit: slots, inFlight: 0, queue: [], level: 0 };
}
