import { hash } from "../core/hash.ts";
import { COHORTS } from "./cohorts.ts";
import type { Context } from "./context.ts";
import { priorityOf } from "./priority_of.ts";

/**
 * Returns the shedding priority of a request. The cohort is a hash of the root
 * request id, so that every hop sheds the same requests.
 */
export function priority(
  { importance, requestId }: Pick<Context, "importance" | "requestId">,
): number {
  return priorityOf({ importance, cohort: hash(requestId) % COHORTS });
}
