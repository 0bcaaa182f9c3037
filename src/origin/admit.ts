import type { Random } from "../core/random.ts";
import type { Admission } from "./admission.ts";
import { SATURATION_LOAD } from "./saturation_load.ts";
import { bucketCapacityMs } from "./bucket_capacity_ms.ts";

// Share of each route's requests that is admitted regardless of capacity: their
// results show when capacity is available again, and no route is starved.
const MIN_ADMITTED_SHARE = 0.05;

/**
 * Admits a root request and charges it to the services of its call graph, or
 * returns the service without capacity for it. The most important root may
 * overdraw a bucket; others are refused until it has refilled.
 */
export function admit(
  { services, roots }: Admission,
  route: string,
  random: Random,
): { admitted: true } | { admitted: false; service: string } {
  const costs = roots.get(route)?.costs ?? [];
  let full: string | null = null;
  for (const { service } of costs) {
    const allowance = services.get(service);
    if (allowance === undefined || allowance.load < SATURATION_LOAD) continue;
    const { allowed, balanceMs, order } = allowance;
    const share = order.find(({ name }) => name === route);
    if (allowed === Infinity || share === undefined) continue;
    if (balanceMs < share.reserve * bucketCapacityMs(allowed)) full = service;
  }
  if (full !== null && random() >= MIN_ADMITTED_SHARE) {
    return { admitted: false, service: full };
  }
  for (const { service, slotMs } of costs) {
    const allowance = services.get(service);
    if (allowance === undefined) continue;
    allowance.admittedMs += slotMs;
    allowance.balanceMs -= slotMs;
  }
  return { admitted: true };
}
