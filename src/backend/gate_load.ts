import type { Gate } from "./gate.ts";

/** Returns the running and waiting requests as a share of the limit. */
export function gateLoad({ running, waiting, limit }: Gate): number {
  return Math.round(100 * (running + waiting) / limit) / 100;
}
