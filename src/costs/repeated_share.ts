import type { CallGraph } from "./call_graph.ts";
import { knownCallers } from "./known_callers.ts";

/**
 * Returns the share of the local backend server's calls to `called` that repeat
 * earlier calls because the runs that make them are repeats.
 */
export function repeatedShare(graph: CallGraph, called: string): number {
  const { runs, repeatedShares } = graph;
  const known = knownCallers(graph, called);
  let started = 0;
  let repeats = 0;
  for (const route of known.length > 0 ? known : runs.keys()) {
    started += runs.get(route)!;
    repeats += runs.get(route)! * (repeatedShares.get(route) ?? 0);
  }
  return started === 0 ? 0 : repeats / started;
}
