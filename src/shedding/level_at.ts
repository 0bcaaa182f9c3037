import type { ReportedLevel } from "./reported_level.ts";
import { LEVEL_LIFETIME_MS } from "./level_lifetime_ms.ts";

/**
 * Levels are reported with every response, so one up to this age is current.
 */
const FRESH_MS = 250;

/**
 * Returns a reported level, reduced by its age. It falls to 0 linearly rather
 * than at once, because otherwise all sources would resume at the same time.
 */
export function levelAt(known: ReportedLevel | undefined, now: number): number {
  if (known === undefined) return 0;
  const ageMs = now - known.at;
  if (ageMs <= FRESH_MS) return known.level;
  if (ageMs >= LEVEL_LIFETIME_MS) return 0;
  const remaining = (LEVEL_LIFETIME_MS - ageMs) /
    (LEVEL_LIFETIME_MS - FRESH_MS);
  return Math.floor(known.level * remaining);
}
