import type { Gate } from "./gate.ts";

/**
 * Returns running and waiting requests divided by the limit, to two decimals.
 */
export function gateLoad({ running, waiting, limit }: Gate): number {
  return Math.round(100 * (running + waiting) / limit) / 100;
}
