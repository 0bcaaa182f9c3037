import type { Admission } from "./admission.ts";
import { SATURATION_LOAD } from "./saturation_load.ts";
import { bucketCapacityMs } from "./bucket_capacity_ms.ts";

// At this load nearly all slots are in use and few requests wait.
const TARGET_LOAD = 0.95;
// A lower load tells little about how much more a service can take, and a
// higher one is mostly a queue that is about to drain.
const MIN_LOAD = 0.5;
const MAX_LOAD = 1.6;
// Minimum fill level of the bucket of a service below saturation.
const MIN_IDLE_FILL = 0.6;
// About the delay from the admission of a request to its effect on the load.
const USED_SMOOTHING_MS = 800;
const ALLOWED_SMOOTHING_MS = 800;
// Refusing a root that uses less of a service than this wouldn't relieve it.
const MIN_COST_MS = 5;
// Fill level that the least important root needs; more important ones need
// less, so that slot time is left for them.
const MAX_RESERVE = 0.6;
// The most important root may overdraw the bucket by its capacity.
const OVERDRAFT = -1;
// A root without requests for this long is ignored.
const ACTIVE_WITHIN_MS = 3_000;

/**
 * Updates the limits of each service by its newest load. What the requests
 * admitted here use is scaled by target load over load, so that each origin
 * keeps its share of the service without knowledge of the others.
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
    allowance.used += smoothingWeight(elapsedMs, USED_SMOOTHING_MS) *
      (used - allowance.used);
    const boundedLoad = Math.min(MAX_LOAD, Math.max(MIN_LOAD, load));
    const targetSlots = allowance.used * TARGET_LOAD / boundedLoad;
    allowance.allowed = allowance.allowed === Infinity
      ? targetSlots || Infinity
      : allowance.allowed +
        smoothingWeight(elapsedMs, ALLOWED_SMOOTHING_MS) *
          (targetSlots - allowance.allowed);
    if (allowance.allowed < Infinity) {
      const capacityMs = bucketCapacityMs(allowance.allowed);
      // Slot time admitted below saturation isn't deducted after it.
      const minBalanceMs = load < SATURATION_LOAD
        ? MIN_IDLE_FILL * capacityMs
        : -capacityMs;
      const balance = allowance.balanceMs + allowance.allowed * elapsedMs;
      allowance.balanceMs = Math.max(
        minBalanceMs,
        Math.min(capacityMs, balance),
      );
    }
    allowance.order = orderOf(admission.roots, service, now);
  }
}

/** Weight of the newest `elapsedMs` in a moving average over `smoothingMs`. */
function smoothingWeight(elapsedMs: number, smoothingMs: number): number {
  return 1 - Math.exp(-elapsedMs / smoothingMs);
}

/** Orders the roots that use a service by importance, then by cost. */
function orderOf(
  roots: Admission["roots"],
  service: string,
  now: number,
): { name: string; reserve: number }[] {
  const usingRoots: { name: string; rank: number; slotMs: number }[] = [];
  for (const [name, { rank, costs, lastRequestAt }] of roots) {
    if (now - lastRequestAt > ACTIVE_WITHIN_MS) continue;
    const cost = costs.find((one) => one.service === service);
    if (cost === undefined || cost.slotMs < MIN_COST_MS) continue;
    usingRoots.push({ name, rank, slotMs: cost.slotMs });
  }
  usingRoots.sort((a, b) => a.rank - b.rank || a.slotMs - b.slotMs);
  const maxCostMs = Math.max(...usingRoots.map(({ slotMs }) => slotMs));
  let reserve = 0;
  return usingRoots.map(({ name, slotMs }, position) => {
    if (position === 0) return { name, reserve: OVERDRAFT };
    const positionReserve = MAX_RESERVE * position / (usingRoots.length - 1);
    // Refusing a cheap root frees little capacity, so it needs a lower fill
    // level, but never a lower one than a more important root.
    reserve = Math.max(reserve, positionReserve * slotMs / maxCostMs);
    return { name, reserve };
  });
}
