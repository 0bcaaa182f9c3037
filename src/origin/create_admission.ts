import type { Admission } from "./admission.ts";

/** Creates an admission that refuses nothing yet. */
export function createAdmission(now: number): Admission {
  return { services: new Map(), roots: new Map(), updatedAt: now };
}
