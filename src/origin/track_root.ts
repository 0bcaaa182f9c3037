import type { ServiceCost } from "../calls/service_cost.ts";
import type { Admission } from "./admission.ts";

/** Notes a root request; `costs` is null where nothing new is known. */
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
