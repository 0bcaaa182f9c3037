import type { Admission } from "./admission.ts";
import { SATURATION_LOAD } from "./saturation_load.ts";
import { bucketCapacityMs } from "./bucket_capacity_ms.ts";

// At this load nearly all slots are used, and little waits.
const TARGET_LOAD = 0.95;
// A lower load says little about how much more fits, a higher one is a queue
// that is about to drain.
const LEAST_LOAD = 0.5;
const MOST_LOAD = 1.6;
// Share of the most savings that a service with room has at least.
const IDLE_SAVINGS = 0.6;
// About the time from the admission of a request to its effect on the load.
const USED_SMOOTHING_MS = 800;
const ALLOWED_SMOOTHING_MS = 800;
// A root that uses less of a service doesn't relieve it when it is refused.
const LEAST_COST_MS = 5;
// The least important root needs this share of the savings, others less; what
// it leaves is there for those.
const MOST_RESERVE = 0.6;
// The most important one may overdraw as much as can be saved.
const OVERDRAFT = -1;
// A root without requests for this long uses nothing.
const SEEN_WITHIN_MS = 3_000;

/**
 * Takes the newest loads into the allowances. What the requests admitted here
 * use of a service, set against its load, tells what they may use at the target
 * load; so each origin keeps its part of the service without knowing the others.
 */
export function updateAdmission(
  admission: Admission,
  loads: ReadonlyMap<string, number>,
  now: number,
): void {
  const elapsedMs = now - admission.updatedAt;
  if (elapsedMs <= 0) return;
  admission.updatedAt = now;
  for (const [service, load] of loads) {
    let allowance = admission.services.get(service);
    if (allowance === undefined) {
      allowance = {
        load,
        used: 0,
        allowed: Infinity,
        balanceMs: 0,
        admittedMs: 0,
        order: [],
      };
      admission.services.set(service, allowance);
    }
    allowance.load = load;
    const used = allowance.admittedMs / elapsedMs;
    allowance.admittedMs = 0;
    allowance.used += share(elapsedMs, USED_SMOOTHING_MS) *
      (used - allowance.used);
    const bounded = Math.min(MOST_LOAD, Math.max(LEAST_LOAD, load));
    const fits = allowance.used * TARGET_LOAD / bounded;
    allowance.allowed = allowance.allowed === Infinity
      ? fits || Infinity
      : allowance.allowed +
        share(elapsedMs, ALLOWED_SMOOTHING_MS) * (fits - allowance.allowed);
    if (allowance.allowed < Infinity) {
      const most = bucketCapacityMs(allowance.allowed);
      // What was admitted while there was room isn't made up for later.
      const least = load < SATURATION_LOAD ? IDLE_SAVINGS * most : -most;
      const balance = allowance.balanceMs + allowance.allowed * elapsedMs;
      allowance.balanceMs = Math.max(least, Math.min(most, balance));
    }
    allowance.order = orderOf(admission.roots, service, now);
  }
}

/** Weight of what came in `elapsedMs` in a mean over `smoothingMs`. */
function share(elapsedMs: number, smoothingMs: number): number {
  return 1 - Math.exp(-elapsedMs / smoothingMs);
}

/** Orders the roots that use a service by importance, then by cost. */
function orderOf(
  roots: Admission["roots"],
  service: string,
  now: number,
): { name: string; reserve: number }[] {
  const users: { name: string; rank: number; slotMs: number }[] = [];
  for (const [name, { rank, costs, lastRequestAt: seenAt }] of roots) {
    if (now - seenAt > SEEN_WITHIN_MS) continue;
    const cost = costs.find((one) => one.service === service);
    if (cost === undefined || cost.slotMs < LEAST_COST_MS) continue;
    users.push({ name, rank, slotMs: cost.slotMs });
  }
  users.sort((a, b) => a.rank - b.rank || a.slotMs - b.slotMs);
  const dearest = Math.max(...users.map(({ slotMs }) => slotMs));
  let least = 0;
  return users.map(({ name, slotMs }, position) => {
    if (position === 0) return { name, reserve: OVERDRAFT };
    const full = MOST_RESERVE * position / (users.length - 1);
    // Refusing a cheap root makes little room, but none goes ahead of one that
    // is more important.
    least = Math.max(least, full * slotMs / dearest);
    return { name, reserve: least };
  });
}
