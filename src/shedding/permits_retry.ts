import { levelKey } from "./level_key.ts";
import { levelAt } from "./level_at.ts";
import type { Shedding } from "./shedding.ts";

/** A request rejected by one daemon, and another daemon to retry it at. */
type Query = {
  service: string;
  daemon: string;
  priority: number;
  /** Admission level reported with the rejection. */
  rejectionLevel: number;
  department?: string;
};

/**
 * Returns whether a request rejected for overload may be retried at the daemon:
 * only if the daemon's level is lower than the one that rejected the request
 * and admits it. Retries are never used as probes, because they add load
 * exactly during overload.
 */
export function permitsRetry(
  shedding: Shedding,
  query: Query,
  now: number,
): boolean {
  const known = shedding.levels.get(query.service)?.get(levelKey(query));
  const level = levelAt(known, now);
  // At level 0 the daemon sheds nothing, whatever the level of the rejection.
  if (level > 0 && level >= query.rejectionLevel) return false;
  return query.priority >= level;
}
