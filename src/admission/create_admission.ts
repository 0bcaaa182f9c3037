import { COHORTS } from "../context/cohorts.ts";
import type { Admission } from "./admission.ts";
import { createQueue } from "./create_queue.ts";
import type { Demand } from "./demand.ts";
import type { Limiter } from "./limiter.ts";
import { RANKS } from "./ranks.ts";

/** Creates admission control for a backend server with `slots` slots. */
export function createAdmission(
  slots: number,
  { maxQueue = Infinity } = {},
): Admission {
  return {
    slots,
    limit: slots,
    inFlight: 0,
    queue: createQueue(),
    maxQueue,
    evicted: [],
    level: 0,
    limiter: createLimiter(slots),
    demand: createDemand(),
  };
}

function createLimiter(slots: number): Limiter {
  return {
    algorithm: "failures",
    exactLimit: slots,
    serviceMs: 0,
    baselineMs: 0,
    responses: 0,
    sumMs: 0,
    failures: 0,
    peakInFlight: 0,
    increases: 0,
    adjustedAt: -Infinity,
  };
}

function createDemand(): Demand {
  return {
    counts: new Float64Array(RANKS * COHORTS),
    rates: new Float64Array(RANKS * COHORTS),
    belowShareCount: 0,
    belowShareRate: 0,
    overflow: 0,
    shares: new Map(),
    lastTickAt: -Infinity,
    lastStepAt: -Infinity,
    lastStepQueueSize: 0,
    lastTickLevel: 0,
  };
}
