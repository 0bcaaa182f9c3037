import { COHORTS } from "../context/cohorts.ts";
import type { Admission } from "./admission.ts";
import { rankOf } from "./rank_of.ts";

/**
 * Returns the admission level for a department. For one below its fair share it
 * admits the whole class being shed, so that a flood from another department
 * does not shed its requests of that class.
 */
export function levelFor(admission: Admission, department: string): number {
  const { level, demand } = admission;
  if (level === 0 || !demand.shares.get(department)?.belowShare) return level;
  return rankOf(level) * COHORTS;
}
