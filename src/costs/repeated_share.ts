import type { CallGraph } from "./call_graph.ts";
import { knownCallers } from "./known_callers.ts";

/**
 * Returns the share of the local backend server's calls to `called` that repeat
 * earlier calls because the runs that make them are repeats.
 */
export function repeatedShare(graph: CallGraph, called: string): number {
  const { runs, repeatedShares } = graph;
  const known = knownCallers(graph, called);
  let totalRuns = 0;
  let repeatedRuns = 0;
  for (const route of known.length > 0 ? known : runs.keys()) {
    totalRuns += runs.get(route)!;
    repeatedRuns += runs.get(route)! * (repeatedShares.get(route) ?? 0);
  }
  return totalRuns === 0 ? 0 : repeatedRuns / totalRuns;
}
