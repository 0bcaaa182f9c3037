import { COHORTS } from "./cohorts.ts";
import type { Importance } from "./importance.ts";

const RANK: Record<Importance, number> = {
  sheddable: 0,
  normal: 1,
  critical: 2,
};

/**
 * Returns the shedding priority of a cohort of an importance class, 0 to
 * 3 × 128 - 1: importance rank × 128 + cohort.
 */
export function cohortPriority(
  { importance, cohort }: { importance: Importance; cohort: number },
): number {
  return RANK[importance] * COHORTS + cohort;
}
