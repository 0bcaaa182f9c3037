import type { CallGraph } from "./call_graph.ts";

/** Counts the start of a run of a route at the own server. */
export function noteRun({ runs }: CallGraph, route: string): void {
  runs.set(route, (runs.get(route) ?? 0) + 1);
}
