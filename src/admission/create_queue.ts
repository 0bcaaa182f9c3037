import { COHORTS } from "../context/cohorts.ts";
import type { Band } from "./band.ts";
import type { Queue } from "./queue.ts";
import { RANKS } from "./ranks.ts";

/** Creates an empty queue. */
export function createQueue(): Queue {
  return {
    size: 0,
    bands: Array.from({ length: RANKS }, createBand),
    byId: new Map(),
    weights: new Map(),
  };
}

function createBand(): Band {
  return {
    size: 0,
    lanes: new Map(),
    bySize: [],
    longest: 0,
    counts: new Int32Array(COHORTS + 1),
  };
}
