import { COHORTS } from "../context/cohorts.ts";
import type { Admission } from "./admission.ts";
import { fitLevel } from "./fit_level.ts";
import { rankOf } from "./rank_of.ts";
import { RANKS } from "./ranks.ts";
import { updateDemand } from "./update_demand.ts";

/** Queueing delay that counts as overload, as a share of the service time. */
const DELAY_SHARE = 1;
/** Work admitted while overloaded, so that the queue shrinks. */
const DRAIN = 0.95;
/** Share shed in addition while the histogram finds too little to shed. */
const STEP = 0.05;
/** Highest priority: the level never rejects everything. */
const HIGHEST = RANKS * COHORTS - 1;

/** Sets the admission level from queueing delay and recent arrivals. */
export function adaptLevel(admission: Admission, now: number): void {
  const { demand, limiter, queue } = admission;
  const delayed = queue.size > DELAY_SHARE * admission.limit;
  const overloaded = delayed || demand.overflow > 0;
  // Little's law: the rate that the limit sustains.
  const capacity = limiter.serviceMs === 0
    ? Infinity
    : admission.limit / limiter.serviceMs;
  updateDemand(admission, { now, calm: !overloaded, capacity });
  const spare = Math.max(0, capacity * DRAIN - demand.modestRate);
  const fit = fitLevel(demand.rates, spare);
  if (!overloaded) admission.level = Math.min(admission.level, fit);
  else if (fit > admission.level) raise(admission, fit);
  else if (delayed && admission.level > fit) raise(admission, extra(admission));
  demand.overflow = 0;
  demand.tickedLevel = admission.level;
}

/** A class is shed only after a tick at which no lower class was admitted. */
function raise(admission: Admission, wanted: number): void {
  const { level, demand } = admission;
  const boundary = (rankOf(demand.tickedLevel) + 1) * COHORTS;
  admission.level = Math.min(wanted, Math.max(level, boundary), HIGHEST);
}

function extra(admission: Admission): number {
  const { rates } = admission.demand;
  let admitted = 0;
  for (let index = admission.level; index < rates.length; index++) {
    admitted += rates[index]!;
  }
  return Math.max(admission.level, fitLevel(rates, admitted * (1 - STEP)));
}
