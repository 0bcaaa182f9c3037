import { COHORTS } from "../context/cohorts.ts";
import type { Band } from "./band.ts";

/** Adds to the number of queued requests of a cohort (Fenwick tree). */
export function countCohort(band: Band, cohort: number, change: number): void {
  for (let index = cohort + 1; index <= COHORTS; index += index & -index) {
    band.counts[index]! += change;
  }
}
