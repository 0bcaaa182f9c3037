import type { CallGraph } from "./call_graph.ts";

/** Counts a call that the own server makes while it runs a request. */
export function noteCall({ calls }: CallGraph, route: string): void {
  calls.set(route, (calls.get(route) ?? 0) + 1);
}
