import { COHORTS } from "../context/cohorts.ts";
import type { Admission } from "./admission.ts";
import type { Demand } from "./demand.ts";
import { rankOf } from "./rank_of.ts";
import type { DepartmentShare } from "./department_share.ts";

/** Load conditions at a tick. */
type Conditions = {
  now: number;
  /** Whether there is no overload. */
  notOverloaded: boolean;
  /** Requests per ms. */
  capacity: number;
};

const TICK_MS = 50;
const MAX_ELAPSED_MS = 1000;
/** Weight of the latest tick in the smoothed rates. */
const LATEST_WEIGHT = 0.125;
/**
 * Sources shed requests below the level, so arrivals there are not seen. Their
 * last known rates are kept during overload and decay by this factor per tick
 * once it is over: to a tenth after half a second.
 */
const RATE_DECAY = 0.8;
/**
 * Lower bound of the factor by which the rates of a department fall per tick.
 */
const DEPARTMENT_RATE_DECAY = 0.9;
/** Departments with a lower rate per ms are removed. */
const NEGLIGIBLE_RATE = 1e-6;

/** Updates the smoothed rates from the arrivals since the latest tick. */
export function updateDemand(
  admission: Admission,
  conditions: Conditions,
): void {
  const { demand, level } = admission;
  const elapsedMs = elapsedSinceTick(demand, conditions.now);
  demand.lastTickAt = conditions.now;
  const decay = conditions.notOverloaded ? RATE_DECAY : 1;
  for (let index = 0; index < demand.rates.length; index++) {
    const rate = demand.counts[index]! / elapsedMs;
    const old = demand.rates[index]!;
    demand.rates[index] = index < level
      ? Math.max(old * decay, rate)
      : old + LATEST_WEIGHT * (rate - old);
  }
  const belowShareRate = demand.belowShareCount / elapsedMs;
  demand.belowShareRate += LATEST_WEIGHT *
    (belowShareRate - demand.belowShareRate);
  demand.counts.fill(0);
  demand.belowShareCount = 0;
  for (const [name, share] of demand.shares) {
    if (!updateShare(share, elapsedMs)) demand.shares.delete(name);
  }
  markBelowShare(admission, conditions.capacity);
}

/** Before the first tick one tick interval is assumed. */
function elapsedSinceTick(demand: Demand, now: number): number {
  if (demand.lastTickAt === -Infinity) return TICK_MS;
  return Math.min(MAX_ELAPSED_MS, Math.max(1, now - demand.lastTickAt));
}

/**
 * Updates the rates of a department. Returns whether they are still relevant.
 */
function updateShare(share: DepartmentShare, elapsedMs: number): boolean {
  let sum = 0;
  for (let rank = 0; rank < share.rates.length; rank++) {
    const rate = share.counts[rank]! / elapsedMs;
    const old = share.rates[rank]!;
    share.rates[rank] = Math.max(
      old * DEPARTMENT_RATE_DECAY,
      old + LATEST_WEIGHT * (rate - old),
    );
    share.counts[rank] = 0;
    sum += share.rates[rank]!;
  }
  return sum > NEGLIGIBLE_RATE;
}

/**
 * Marks the departments below their fair share: the capacity left by higher
 * classes, divided by weight among the departments active in the class being
 * shed.
 */
function markBelowShare(admission: Admission, capacity: number): void {
  const { demand, queue } = admission;
  const rank = rankOf(admission.level);
  const available = capacity - rateFrom(demand, (rank + 1) * COHORTS);
  let weights = 0;
  for (const [name, share] of demand.shares) {
    if (share.rates[rank]! > 0) weights += queue.weights.get(name) ?? 1;
  }
  for (const [name, share] of demand.shares) {
    const weight = queue.weights.get(name) ?? 1;
    share.belowShare = demand.shares.size > 1 &&
      share.rates[rank]! < available * weight / Math.max(1, weights);
  }
}

function rateFrom(demand: Demand, priority: number): number {
  let sum = 0;
  for (let index = priority; index < demand.rates.length; index++) {
    sum += demand.rates[index]!;
  }
  return sum;
}
