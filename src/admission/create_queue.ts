import { COHORTS } from "../context/cohorts.ts";
import type { ClassQueue } from "./class_queue.ts";
import type { Queue } from "./queue.ts";
import { RANKS } from "./ranks.ts";

export function createQueue(): Queue {
  return {
    size: 0,
    classQueues: Array.from({ length: RANKS }, createClassQueue),
    byId: new Map(),
    weights: new Map(),
  };
}

function createClassQueue(): ClassQueue {
  return {
    size: 0,
    departmentQueues: new Map(),
    bySize: [],
    longestIndex: 0,
    cohortCounts: new Int32Array(COHORTS + 1),
  };
}
