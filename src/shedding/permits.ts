import type { Shedding } from "./shedding.ts";

const LEVEL_LIFETIME_MS = 1000;

/** A request that is about to be sent to a daemon. */
type Query = { service: string; daemon: string; priority: number };

/**
 * Returns whether the daemon would admit a request of this priority, judged by
 * the level in its latest response. An old level says nothing.
 */
export function permits(
  shedding: Shedding,
  query: Query,
  now: number,
): boolean {
  const known = shedding.levels.get(query.service)?.get(query.daemon);
  if (known === undefined || now - known.at > LEVEL_LIFETIME_MS) return true;
  return query.priority >= known.level;
}
