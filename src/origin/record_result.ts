import { failureRate } from "./failure_rate.ts";
import type { Observation } from "./observation.ts";

// Weight of the newest result in the moving average: about the last 10 count.
const RESULT_WEIGHT = 0.1;

/** Updates a server's failure rate with a result; a new server starts at 0. */
export function recordResult(
  before: Observation | undefined,
  serverId: string,
  failed: boolean,
  now: number,
): Observation {
  const rate = failureRate(before, serverId, now);
  return {
    serverId,
    failureRate: rate + RESULT_WEIGHT * ((failed ? 1 : 0) - rate),
    updatedAt: now,
  };
}
