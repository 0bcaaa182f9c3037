import type { Random } from "../core/random.ts";
import type { Admission } from "./admission.ts";
import { SATURATION_LOAD } from "./saturation_load.ts";
import { bucketCapacityMs } from "./bucket_capacity_ms.ts";

// Each route keeps this share: it shows when room is back, and no kind of
// request is left without service.
const LEAST_ADMITTED = 0.05;

/**
 * Admits a root request and charges it to the services of its call graph, or
 * names the service that has no room for it. The most important root may
 * overdraw; the others wait until that is made up for.
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
    const { allowed, balanceMs: balance, order } = allowance;
    const share = order.find(({ name }) => name === route);
    if (allowed === Infinity || share === undefined) continue;
    if (balance < share.reserve * bucketCapacityMs(allowed)) full = service;
  }
  if (full !== null && random() >= LEAST_ADMITTED) {
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
