import type { ServiceCost } from "../calls/service_cost.ts";
import type { Admission } from "./admission.ts";

/** Updates the state of a root route; `costs` is null if it hasn't changed. */
export function trackRoot(
  { roots }: Admission,
  route: string,
  rank: number,
  costs: readonly ServiceCost[] | null,
  now: number,
): void {
  const root = roots.get(route);
  if (root === undefined) {
    roots.set(route, { rank, costs: costs ?? [], lastRequestAt: now });
    return;
  }
  root.rank = rank;
  root.lastRequestAt = now;
  if (costs !== null) root.costs = costs;
}
