import type { CallGraph } from "./call_graph.ts";

// Weight of the newest run in the share of repeats, about the last 50 runs.
const NEWEST_WEIGHT = 0.02;

/**
 * Counts the start of a run of a route at the own server. `repeated` is how far
 * it repeats earlier work, from 0 to 1.
 */
export function recordRunStart(
  { runs, repeatedShares: shares }: CallGraph,
  route: string,
  repeated = 0,
): void {
  runs.set(route, (runs.get(route) ?? 0) + 1);
  const share = shares.get(route) ?? 0;
  shares.set(route, share + NEWEST_WEIGHT * (repeated - share));
}
