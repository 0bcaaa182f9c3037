import { COHORTS } from "./cohorts.ts";
import type { Importance } from "./importance.ts";

const RANK: Record<Importance, number> = {
  sheddable: 0,
  normal: 1,
  critical: 2,
};

/**
 * Returns the shedding priority of a cohort within an importance class:
 * importance rank × 128 + cohort, from 0 to 3 × 128 - 1.
 */
export function cohortPriority(
  { importance, cohort }: { importance: Importance; cohort: number },
): number {
  return RANK[importance] * COHORTS + cohort;
}
