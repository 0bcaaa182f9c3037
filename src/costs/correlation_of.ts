import type { CallGraph } from "./call_graph.ts";

/** Returns what is known of the calls that one route makes to another. */
export function correlationOf(
  { correlations: evidence }: CallGraph,
  called: string,
  caller: string,
) {
  let ofCalled = evidence.get(called);
  if (ofCalled === undefined) evidence.set(called, ofCalled = new Map());
  let found = ofCalled.get(caller);
  if (found === undefined) {
    found = { ends: 0, excess: 0, variance: 0 };
    ofCalled.set(caller, found);
  }
  return found;
}
