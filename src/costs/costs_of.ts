import type { ServiceCost } from "../calls/service_cost.ts";
import type { CallGraph } from "./call_graph.ts";
import { callsPerRun } from "./calls_per_run.ts";

/** Returns the slot time of one request of a route over its whole call graph. */
export function costsOf(graph: CallGraph, route: string): ServiceCost[] {
  const { service, slotMs, calls, calleeCosts } = graph;
  const slotMsByService = new Map([[service, slotMs.get(route) ?? 0]]);
  for (const called of calls.keys()) {
    const callCount = callsPerRun(graph, called, route);
    if (callCount === 0) continue;
    for (const cost of calleeCosts.get(called) ?? []) {
      const sum = slotMsByService.get(cost.service) ?? 0;
      slotMsByService.set(cost.service, sum + callCount * cost.slotMs);
    }
  }
  return [...slotMsByService].map(([name, ms]) => ({
    service: name,
    slotMs: Math.round(ms),
  }));
}
