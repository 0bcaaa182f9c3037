import { hash } from "../core/hash.ts";
import { COHORTS } from "./cohorts.ts";
import type { Context } from "./context.ts";
import { cohortPriority } from "./cohort_priority.ts";

/**
 * Returns the shedding priority of a request. Its cohort is a hash of the root
 * request id, so that all hops shed the same requests.
 */
export function requestPriority(
  { importance, requestId }: Pick<Context, "importance" | "requestId">,
): number {
  return cohortPriority({ importance, cohort: hash(requestId) % COHORTS });
}
