import type { CallGraph } from "./call_graph.ts";

// Weight of the latest run in the moving average: about the last 50 runs count.
const LATEST_WEIGHT = 0.02;

/**
 * Counts the start of a run of a route at the local backend server.
 * `repeatedShare` is the share of it that repeats earlier work, from 0 to 1.
 */
export function recordRunStart(
  { runs, repeatedShares: shares }: CallGraph,
  route: string,
  repeatedShare = 0,
): void {
  runs.set(route, (runs.get(route) ?? 0) + 1);
  const share = shares.get(route) ?? 0;
  shares.set(route, share + LATEST_WEIGHT * (repeatedShare - share));
}
