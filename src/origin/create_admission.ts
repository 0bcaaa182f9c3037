import type { Admission } from "./admission.ts";

/** Creates the admission state, which admits all until loads are known. */
export function createAdmission(now: number): Admission {
  return { services: new Map(), roots: new Map(), updatedAt: now };
}
