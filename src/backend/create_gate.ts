import type { Gate } from "./gate.ts";

// Until runs have been timed; soon replaced by what is measured.
const FIRST_MEAN_RUN_MS = 50;

/** Creates an idle gate. */
export function createGate(limit: number): Gate {
  return {
    limit,
    running: 0,
    flows: new Map(),
    waiting: 0,
    virtualTimeMs: 0,
    meanRunMs: FIRST_MEAN_RUN_MS,
  };
}
