import type { ReportedLevel } from "./reported_level.ts";
import { LEVEL_LIFETIME_MS } from "./level_lifetime_ms.ts";

/** Reports arrive with every response, so a level this young is current. */
const FRESH_MS = 250;

/**
 * Returns what is left of a reported level. It falls steadily to 0 rather than
 * at once, because all sources would otherwise return in the same moment.
 */
export function levelAt(known: ReportedLevel | undefined, now: number): number {
  if (known === undefined) return 0;
  const ageMs = now - known.at;
  if (ageMs <= FRESH_MS) return known.level;
  if (ageMs >= LEVEL_LIFETIME_MS) return 0;
  const left = (LEVEL_LIFETIME_MS - ageMs) / (LEVEL_LIFETIME_MS - FRESH_MS);
  return Math.floor(known.level * left);
}
