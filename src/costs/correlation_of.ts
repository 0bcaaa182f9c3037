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
  let correlation = byCaller.get(caller);
  if (correlation === undefined) {
    correlation = { ends: 0, excess: 0, variance: 0 };
    byCaller.set(caller, correlation);
  }
  return correlation;
}
