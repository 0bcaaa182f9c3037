import type { Admission } from "./admission.ts";

/**
 * Estimates how long a root request takes, in ms: its slot at the first service
 * is held while its calls run, so the longest slot time includes them.
 */
export function estimateRunMs({ roots }: Admission, route: string): number {
  let maxSlotMs = 0;
  for (const { slotMs } of roots.get(route)?.costs ?? []) {
    maxSlotMs = Math.max(maxSlotMs, slotMs);
  }
  return maxSlotMs;
}
