import type { ServiceCost } from "../calls/service_cost.ts";

/** Encodes costs for a message. */
export function costTuples(
  costs: readonly ServiceCost[] | null,
): [string, number][] | null {
  return costs === null
    ? null
    : costs.map(({ service, slotMs }) => [service, Math.round(slotMs)]);
}
