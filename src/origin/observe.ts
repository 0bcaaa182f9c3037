import { failingShare } from "./failing_share.ts";
import type { Observation } from "./observation.ts";

// Weight of the newest result, about the last 10 results.
const RESULT_WEIGHT = 0.1;

/** Takes a result into the record of a server; a new server starts afresh. */
export function observe(
  before: Observation | undefined,
  serverId: string,
  failed: boolean,
  now: number,
): Observation {
  const failing = failingShare(before, serverId, now);
  return {
    serverId,
    failing: failing + RESULT_WEIGHT * ((failed ? 1 : 0) - failing),
    seenAt: now,
  };
}
