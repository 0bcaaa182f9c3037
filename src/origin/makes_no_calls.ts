import type { ServiceCost } from "../calls/service_cost.ts";

// A smaller cost at another service is taken for an estimation error.
const MIN_COST_MS = 5;

/** Returns whether a request with these costs uses no service but its own. */
export function makesNoCalls(
  costs: readonly ServiceCost[],
  service: string,
): boolean {
  return costs.length > 0 &&
    costs.every((cost) =>
      cost.service === service || cost.slotMs < MIN_COST_MS
    );
}
