import { COHORTS } from "../context/cohorts.ts";
import { RANKS } from "./ranks.ts";

/** Returns the importance rank of a priority or of an admission level. */
export function rankOf(priority: number): number {
  return Math.min(RANKS - 1, Math.floor(priority / COHORTS));
}
