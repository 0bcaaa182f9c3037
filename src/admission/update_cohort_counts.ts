import { COHORTS } from "../context/cohorts.ts";
import type { ClassQueue } from "./class_queue.ts";

/**
 * Adds `change` to the number of queued requests of a cohort (Fenwick tree).
 */
export function updateCohortCounts(
  classQueue: ClassQueue,
  cohort: number,
  change: number,
): void {
  for (let index = cohort + 1; index <= COHORTS; index += index & -index) {
    classQueue.cohortCounts[index]! += change;
  }
}
