import type { Admission } from "./admission.ts";

/**
 * Applies a changed number of slots from an announcement. A limit equal to the
 * old slots follows an increase; a reduced limit only grows by adaptation.
 * Queued requests that now fit are started by the next `finish` or `tick`.
 */
export function setSlots(admission: Admission, slots: number): void {
  const { limiter } = admission;
  const unreduced = limiter.exactLimit >= admission.slots;
  limiter.exactLimit = unreduced ? slots : Math.min(limiter.exactLimit, slots);
  admission.slots = slots;
  admission.limit = Math.max(1, Math.floor(limiter.exactLimit));
}
