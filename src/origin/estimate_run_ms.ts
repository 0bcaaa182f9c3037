import type { Admission } from "./admission.ts";

/**
 * Estimates how long a root request takes, in ms: its slot at the first service
 * is held while its calls run, so the longest slot time includes them.
 */
export function estimateRunMs({ roots }: Admission, route: string): number {
  let longest = 0;
  for (const { slotMs } of roots.get(route)?.costs ?? []) {
    longest = Math.max(longest, slotMs);
  }
  return longest;
}
