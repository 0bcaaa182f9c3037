import { levelKey } from "./level_key.ts";
import { levelAt } from "./level_at.ts";
import { PROBE_INTERVAL } from "./probe_interval.ts";
import type { Shedding } from "./shedding.ts";

/** A request that is about to be sent to a daemon. */
type Query = {
  service: string;
  daemon: string;
  priority: number;
  department?: string;
};

/**
 * Returns whether to send a request of this priority to the daemon, based on
 * the level in its latest response. The level counts less with age, and a share
 * of the requests below it is permitted as probes.
 */
export function permits(
  shedding: Shedding,
  query: Query,
  now: number,
): boolean {
  const known = shedding.levels.get(query.service)?.get(levelKey(query));
  if (known === undefined || query.priority >= levelAt(known, now)) return true;
  known.rejected += 1;
  if (known.rejected < PROBE_INTERVAL) return false;
  known.rejected = 0;
  return true;
}
