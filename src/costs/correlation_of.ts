import type { CallGraph } from "./call_graph.ts";

/**
 * Returns the correlation of replies from `called` with ends of runs of
 * `caller`, created where there is none.
 */
export function correlationOf(
  { correlations }: CallGraph,
  called: string,
  caller: string,
) {
  let byCaller = correlations.get(called);
  if (byCaller === undefined) correlations.set(called, byCaller = new Map());
  let found = byCaller.get(caller);
  if (found === undefined) {
    found = { ends: 0, excess: 0, variance: 0 };
    byCaller.set(caller, found);
  }
  return found;
}
