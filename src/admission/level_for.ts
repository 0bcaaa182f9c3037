import { COHORTS } from "../context/cohorts.ts";
import type { Admission } from "./admission.ts";
import { rankOf } from "./rank_of.ts";

/**
 * Returns the admission level for a department. One below its fair share keeps
 * the whole class that is being shed, so a flood of another department costs it
 * nothing there.
 */
export function levelFor(admission: Admission, department: string): number {
  const { level, demand } = admission;
  if (level === 0 || !demand.shares.get(department)?.belowShare) return level;
  return rankOf(level) * COHORTS;
}
