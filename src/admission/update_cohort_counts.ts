import { COHORTS } from "../context/cohorts.ts";
import type { ClassQueue } from "./class_queue.ts";

/** Adds to the number of queued requests of a cohort (Fenwick tree). */
export function updateCohortCounts(
  band: ClassQueue,
  cohort: number,
  change: number,
): void {
  for (let index = cohort + 1; index <= COHORTS; index += index & -index) {
    band.cohortCounts[index]! += change;
  }
}
