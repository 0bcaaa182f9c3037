import { COHORTS } from "../context/cohorts.ts";
import type { Admission } from "./admission.ts";
import { fitLevel } from "./fit_level.ts";
import { rankOf } from "./rank_of.ts";
import { RANKS } from "./ranks.ts";
import { updateDemand } from "./update_demand.ts";

/**
 * Queueing delay that counts as overload, in service times, by importance rank.
 * Reports of load are a service time old, so that bursts of that size meet one
 * server; important requests rather wait than be shed for one.
 */
const DELAYS = [1, 2, 3];
/** Work admitted while overloaded, so that the queue shrinks. */
const DRAIN = 0.95;
/** Share shed in addition while the histogram finds too little to shed. */
const STEP = 0.05;
/** Highest priority: the level never rejects everything. */
const HIGHEST = RANKS * COHORTS - 1;

/**
 * Sets the admission level from queueing delay and recent arrivals. It rises at
 * most once in a service time, because sources learn of it from responses:
 * faster steps made all of them move to the server that had not risen yet.
 */
export function adaptLevel(admission: Admission, now: number): void {
  const { demand, limiter } = admission;
  const delayed = delayedRank(admission);
  const overloaded = delayed >= 0 || demand.overflow > 0;
  // Little's law: the rate that the limit sustains.
  const capacity = limiter.serviceMs === 0
    ? Infinity
    : admission.limit / limiter.serviceMs;
  updateDemand(admission, { now, calm: !overloaded, capacity });
  const spare = Math.max(0, capacity * DRAIN - demand.belowShareRate);
  const fit = fitLevel(demand.rates, spare);
  // A level left over from a burst must not reject a class that does not wait.
  const ceiling = (Math.max(delayed, overloaded ? 0 : 1) + 1) * COHORTS;
  if (demand.overflow === 0) {
    admission.level = Math.min(admission.level, ceiling);
  }
  if (!overloaded) admission.level = Math.min(admission.level, fit);
  else if (now - demand.lastStepAt >= limiter.serviceMs) {
    const grows = admission.queue.size >= demand.lastStepQueueSize;
    demand.lastStepAt = now;
    demand.lastStepQueueSize = admission.queue.size;
    if (fit > admission.level) raise(admission, fit, delayed);
    else if (delayed >= 0 && grows) raise(admission, extra(admission), delayed);
  }
  demand.overflow = 0;
  demand.lastTickLevel = admission.level;
}

/**
 * Returns the highest class that is delayed, or -1. The queue starts important
 * requests first, so only those at or above a class can delay it.
 */
function delayedRank({ queue, limit }: Admission): number {
  let size = 0;
  for (let rank = RANKS - 1; rank >= 0; rank--) {
    size += queue.classQueues[rank]!.size;
    if (size > DELAYS[rank]! * limit) return rank;
  }
  return -1;
}

/**
 * A class is shed only while it is delayed itself, and after a tick at which no
 * lower class was admitted.
 */
function raise(admission: Admission, wanted: number, delayed: number): void {
  const { level, demand } = admission;
  const boundary = (rankOf(demand.lastTickLevel) + 1) * COHORTS;
  const ceiling = (delayed + 1) * COHORTS;
  const most = Math.min(Math.max(level, boundary), HIGHEST);
  admission.level = Math.max(level, Math.min(wanted, most, ceiling));
}

function extra(admission: Admission): number {
  const { rates } = admission.demand;
  let admitted = 0;
  for (let index = admission.level; index < rates.length; index++) {
    admitted += rates[index]!;
  }
  return Math.max(admission.level, fitLevel(rates, admitted * (1 - STEP)));
}
