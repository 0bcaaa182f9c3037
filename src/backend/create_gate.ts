import type { Gate } from "./gate.ts";

// Assumed until the first runs are measured.
const INITIAL_MEAN_RUN_MS = 50;

/** Creates a gate without requests. */
export function createGate(limit: number): Gate {
  return {
    limit,
    running: 0,
    flows: new Map(),
    waiting: 0,
    virtualTimeMs: 0,
    meanRunMs: INITIAL_MEAN_RUN_MS,
  };
}
