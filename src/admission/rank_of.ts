import { COHORTS } from "../context/cohorts.ts";
import { RANKS } from "./ranks.ts";

/**
 * Returns the importance rank of a priority or of an admission level: 0 for the
 * lowest class. `Route.rank` is the other way round: 0 for the most important.
 */
export function rankOf(priority: number): number {
  return Math.min(RANKS - 1, Math.floor(priority / COHORTS));
}
