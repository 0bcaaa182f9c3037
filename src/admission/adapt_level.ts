import { COHORTS } from "../context/cohorts.ts";
import type { Admission } from "./admission.ts";
import { fitLevel } from "./fit_level.ts";
import { rankOf } from "./rank_of.ts";
import { RANKS } from "./ranks.ts";
import { updateDemand } from "./update_demand.ts";

/**
 * Queueing delay above which a class counts as overloaded, in mean service
 * times, by importance rank. Load reports are up to one service time old, so a
 * burst of that size can arrive at a single server. Higher classes tolerate a
 * longer wait, so that such a burst does not shed them.
 */
const DELAY_THRESHOLDS = [1, 2, 3];
/**
 * Share of the capacity that is admitted during overload; the rest drains the
 * queue.
 */
const ADMITTED_SHARE = 0.95;
/**
 * Share of the admitted rate shed in addition while a fitted level does not
 * shrink the queue.
 */
const EXTRA_SHED_SHARE = 0.05;
/**
 * The highest priority is always admitted, so the level never rejects
 * everything.
 */
const MAX_LEVEL = RANKS * COHORTS - 1;

/**
 * Sets the admission level from the queueing delay and the recent arrivals. It
 * rises at most once per service time, because sources, the daemons that send
 * requests here, learn of it from responses: with faster steps all sources
 * moved to the server whose level had not risen yet.
 */
export function adaptLevel(admission: Admission, now: number): void {
  const { demand, limiter } = admission;
  const delayed = findDelayedRank(admission);
  const overloaded = delayed >= 0 || demand.overflow > 0;
  // Little's law: throughput = concurrency / service time.
  const capacity = limiter.serviceMs === 0
    ? Infinity
    : admission.limit / limiter.serviceMs;
  updateDemand(admission, { now, notOverloaded: !overloaded, capacity });
  const spareRate = Math.max(
    0,
    capacity * ADMITTED_SHARE - demand.belowShareRate,
  );
  const fit = fitLevel(demand.rates, spareRate);
  // A level that remains from a burst must not reject a class that is not
  // delayed.
  const ceiling = (Math.max(delayed, overloaded ? 0 : 1) + 1) * COHORTS;
  if (demand.overflow === 0) {
    admission.level = Math.min(admission.level, ceiling);
  }
  if (!overloaded) admission.level = Math.min(admission.level, fit);
  else if (now - demand.lastStepAt >= limiter.serviceMs) {
    const grew = admission.queue.size >= demand.lastStepQueueSize;
    demand.lastStepAt = now;
    demand.lastStepQueueSize = admission.queue.size;
    if (fit > admission.level) raise(admission, fit, delayed);
    else if (delayed >= 0 && grew) raise(admission, stepUp(admission), delayed);
  }
  demand.overflow = 0;
  demand.lastTickLevel = admission.level;
}

/**
 * Returns the rank of the highest class that is delayed, or -1. The queue
 * serves higher classes first, so a class is only delayed by requests of its
 * own or a higher class.
 */
function findDelayedRank({ queue, limit }: Admission): number {
  let size = 0;
  for (let rank = RANKS - 1; rank >= 0; rank--) {
    size += queue.classQueues[rank]!.size;
    if (size > DELAY_THRESHOLDS[rank]! * limit) return rank;
  }
  return -1;
}

/**
 * Raises the level towards `targetLevel`. A class is shed only while it is
 * delayed itself and only after a tick at which no lower class was admitted.
 */
function raise(
  admission: Admission,
  targetLevel: number,
  delayedRank: number,
): void {
  const { level, demand } = admission;
  const classEnd = (rankOf(demand.lastTickLevel) + 1) * COHORTS;
  const ceiling = (delayedRank + 1) * COHORTS;
  const max = Math.min(Math.max(level, classEnd), MAX_LEVEL);
  admission.level = Math.max(level, Math.min(targetLevel, max, ceiling));
}

/**
 * Returns the level that sheds a further `EXTRA_SHED_SHARE` of the admitted
 * rate.
 */
function stepUp(admission: Admission): number {
  const { rates } = admission.demand;
  let admitted = 0;
  for (let index = admission.level; index < rates.length; index++) {
    admitted += rates[index]!;
  }
  return Math.max(
    admission.level,
    fitLevel(rates, admitted * (1 - EXTRA_SHED_SHARE)),
  );
}
