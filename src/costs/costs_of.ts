import type { ServiceCost } from "../calls/service_cost.ts";
import type { CallGraph } from "./call_graph.ts";

// A smaller ratio is an error of the estimate rather than a call.
const LEAST_RATIO = 0.15;

/** Returns the slot time of one request of a route over its whole call graph. */
export function costsOf(graph: CallGraph, route: string): ServiceCost[] {
  const { service, slotMs, ratios, callees } = graph;
  const total = new Map([[service, slotMs.get(route) ?? 0]]);
  for (const [called, byRoute] of ratios) {
    const ratio = byRoute.get(route) ?? 0;
    if (ratio < LEAST_RATIO) continue;
    for (const cost of callees.get(called) ?? []) {
      const sum = total.get(cost.service) ?? 0;
      total.set(cost.service, sum + ratio * cost.slotMs);
    }
  }
  return [...total].map(([name, ms]) => ({ service: name, slotMs: ms }));
}
