import type { CallGraph } from "./call_graph.ts";

/** Counts a request of a route by the service of the VM that it came from. */
export function recordCaller(
  { callers }: CallGraph,
  route: string,
  caller: string,
): void {
  let counts = callers.get(route);
  if (counts === undefined) callers.set(route, counts = new Map());
  counts.set(caller, (counts.get(caller) ?? 0) + 1);
}
