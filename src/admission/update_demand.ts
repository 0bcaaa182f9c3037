import { COHORTS } from "../context/cohorts.ts";
import type { Admission } from "./admission.ts";
import type { Demand } from "./demand.ts";
import { rankOf } from "./rank_of.ts";
import type { DepartmentShare } from "./department_share.ts";

/** State of the overload at a tick. */
type Moment = {
  now: number;
  /** Whether there is no overload. */
  calm: boolean;
  /** Requests per ms. */
  capacity: number;
};

const TICK_MS = 50;
const LONGEST_MS = 1000;
const NEWEST = 0.125;
/**
 * Sources shed below the level, so arrivals there are not seen. They are
 * remembered, and forgotten at this rate per tick once there is no overload:
 * to a tenth after half a second.
 */
const KEPT_WHEN_CALM = 0.8;
const KEPT_SHARE = 0.9;
const NEGLIGIBLE = 1e-6;

/** Moves the arrivals since the latest tick into the rates. */
export function updateDemand(admission: Admission, moment: Moment): void {
  const { demand, level } = admission;
  const elapsedMs = elapsed(demand, moment.now);
  demand.lastTickAt = moment.now;
  const kept = moment.calm ? KEPT_WHEN_CALM : 1;
  for (let index = 0; index < demand.rates.length; index++) {
    const rate = demand.counts[index]! / elapsedMs;
    const old = demand.rates[index]!;
    demand.rates[index] = index < level
      ? Math.max(old * kept, rate)
      : old + NEWEST * (rate - old);
  }
  const modest = demand.belowShareCount / elapsedMs;
  demand.belowShareRate += NEWEST * (modest - demand.belowShareRate);
  demand.counts.fill(0);
  demand.belowShareCount = 0;
  for (const [name, share] of demand.shares) {
    if (!updateShare(share, elapsedMs)) demand.shares.delete(name);
  }
  markModest(admission, moment.capacity);
}

/** The first tick comes one interval after the first arrivals. */
function elapsed(demand: Demand, now: number): number {
  if (demand.lastTickAt === -Infinity) return TICK_MS;
  return Math.min(LONGEST_MS, Math.max(1, now - demand.lastTickAt));
}

/** Returns whether the department still counts. */
function updateShare(share: DepartmentShare, elapsedMs: number): boolean {
  let sum = 0;
  for (let rank = 0; rank < share.rates.length; rank++) {
    const rate = share.counts[rank]! / elapsedMs;
    const old = share.rates[rank]!;
    share.rates[rank] = Math.max(old * KEPT_SHARE, old + NEWEST * (rate - old));
    share.counts[rank] = 0;
    sum += share.rates[rank]!;
  }
  return sum > NEGLIGIBLE;
}

/** Marks the departments below their fair share of the class being shed. */
function markModest(admission: Admission, capacity: number): void {
  const { demand, queue } = admission;
  const rank = rankOf(admission.level);
  const left = capacity - rateFrom(demand, (rank + 1) * COHORTS);
  let weights = 0;
  for (const [name, share] of demand.shares) {
    if (share.rates[rank]! > 0) weights += queue.weights.get(name) ?? 1;
  }
  for (const [name, share] of demand.shares) {
    const weight = queue.weights.get(name) ?? 1;
    share.belowShare = demand.shares.size > 1 &&
      share.rates[rank]! < left * weight / Math.max(1, weights);
  }
}

function rateFrom(demand: Demand, priority: number): number {
  let sum = 0;
  for (let index = priority; index < demand.rates.length; index++) {
    sum += demand.rates[index]!;
  }
  return sum;
}
