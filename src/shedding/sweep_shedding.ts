import { LEVEL_LIFETIME_MS } from "./level_lifetime_ms.ts";
import type { Shedding } from "./shedding.ts";

/** Removes expired levels; called every few seconds. */
export function sweepShedding(shedding: Shedding, now: number): void {
  for (const [service, daemons] of shedding.levels) {
    for (const [key, known] of daemons) {
      if (now - known.at >= LEVEL_LIFETIME_MS) daemons.delete(key);
    }
    if (daemons.size > 0) continue;
    shedding.levels.delete(service);
    shedding.rejected.delete(service);
  }
}
