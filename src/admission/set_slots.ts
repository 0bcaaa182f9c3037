import type { Admission } from "./admission.ts";

/**
 * Takes over a changed announcement. A limit that was not reduced follows the
 * slots up; a reduced one grows by measurement only. Requests that now fit are
 * started by the next `finish` or `tick`.
 */
export function setSlots(admission: Admission, slots: number): void {
  const { limiter } = admission;
  const full = limiter.exactLimit >= admission.slots;
  limiter.exactLimit = full ? slots : Math.min(limiter.exactLimit, slots);
  admission.slots = slots;
  admission.limit = Math.max(1, Math.floor(limiter.exactLimit));
}
