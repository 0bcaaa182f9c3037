import type { ServiceCost } from "../calls/service_cost.ts";
import type { CallGraph } from "./call_graph.ts";
import { callsPerRun } from "./calls_per_run.ts";

/** Returns the slot time of one request of a route over its whole call graph. */
export function costsOf(graph: CallGraph, route: string): ServiceCost[] {
  const { service, slotMs, calls, calleeCosts } = graph;
  const total = new Map([[service, slotMs.get(route) ?? 0]]);
  for (const called of calls.keys()) {
    const count = callsPerRun(graph, called, route);
    if (count === 0) continue;
    for (const cost of calleeCosts.get(called) ?? []) {
      const sum = total.get(cost.service) ?? 0;
      total.set(cost.service, sum + count * cost.slotMs);
    }
  }
  return [...total].map(([name, ms]) => ({
    service: name,
    slotMs: Math.round(ms),
  }));
}
