import { levelKey } from "./level_key.ts";
import { levelAt } from "./level_at.ts";
import type { Shedding } from "./shedding.ts";

/** A request rejected by one daemon, and the daemon it may be retried at. */
type Query = {
  service: string;
  daemon: string;
  priority: number;
  /** Admission level reported with the rejection. */
  rejectionLevel: number;
  department?: string;
};

/**
 * Returns whether an overload rejection may be retried at another daemon: only
 * where its level is lower than the one that rejected, and admits the request.
 * No probes: a retry adds load exactly when there is too much of it.
 */
export function permitsRetry(
  shedding: Shedding,
  query: Query,
  now: number,
): boolean {
  const known = shedding.levels.get(query.service)?.get(levelKey(query));
  const level = levelAt(known, now);
  // At level 0 a daemon sheds nothing, whatever the one that rejected did.
  if (level > 0 && level >= query.rejectionLevel) return false;
  return query.priority >= level;
}
