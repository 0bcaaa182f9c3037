import { failureRate } from "./failure_rate.ts";
import type { Observation } from "./observation.ts";

// Weight of the newest result, about the last 10 results.
const RESULT_WEIGHT = 0.1;

/** Takes a result into the record of a server; a new server starts afresh. */
export function recordResult(
  before: Observation | undefined,
  serverId: string,
  failed: boolean,
  now: number,
): Observation {
  const failing = failureRate(before, serverId, now);
  return {
    serverId,
    failureRate: failing + RESULT_WEIGHT * ((failed ? 1 : 0) - failing),
    updatedAt: now,
  };
}
