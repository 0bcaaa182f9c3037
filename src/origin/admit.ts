import type { Random } from "../core/random.ts";
import type { Admission } from "./admission.ts";
import { BINDING_LOAD } from "./binding_load.ts";
import { savedMs } from "./saved_ms.ts";

// The least important root needs this share of the savings, others less; what
// it leaves is there for those.
const MOST_RESERVE = 0.6;
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
    if (allowance === undefined || allowance.load < BINDING_LOAD) continue;
    const { allowed, balance, order } = allowance;
    const position = order.indexOf(route);
    if (allowed === Infinity || position < 0) continue;
    const reserve = position === 0
      ? -1
      : MOST_RESERVE * position / Math.max(1, order.length - 1);
    if (balance < reserve * savedMs(allowed)) full = service;
  }
  if (full !== null && random() >= LEAST_ADMITTED) {
    return { admitted: false, service: full };
  }
  for (const { service, slotMs } of costs) {
    const allowance = services.get(service);
    if (allowance === undefined) continue;
    allowance.admitted += slotMs;
    allowance.balance -= slotMs;
  }
  return { admitted: true };
}
