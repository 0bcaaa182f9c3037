import { hash } from "../core/hash.ts";
import { COHORTS } from "./cohorts.ts";
import type { Context } from "./context.ts";
import type { Importance } from "./importance.ts";

const RANK: Record<Importance, number> = {
  sheddable: 0,
  normal: 1,
  critical: 2,
};

/**
 * Returns the shedding priority of a request, 0 to 3 × 128 - 1: importance
 * rank × 128 + cohort. The cohort is a hash of the root request id, so that
 * every hop sheds the same requests.
 */
export function priority(
  context: Pick<Context, "importance" | "requestId">,
): number {
  return RANK[context.importance] * COHORTS + hash(context.requestId) % COHORTS;
}
