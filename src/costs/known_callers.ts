import type { CallGraph } from "./call_graph.ts";
import { makesCalls } from "./makes_calls.ts";

/** Returns the routes whose runs are known to make calls to `called`. */
export function knownCallers(graph: CallGraph, called: string): string[] {
  return [...graph.runs.keys()].filter((route) =>
    makesCalls(graph, called, route)
  );
}
