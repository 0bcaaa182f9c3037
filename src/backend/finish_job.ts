import type { Gate } from "./gate.ts";
import { startWaitingJobs } from "./start_waiting_jobs.ts";

// Corresponds to an average over about the last 30 runs.
const LATEST_WEIGHT = 0.03;

/**
 * Records the end of a run and starts waiting jobs. `runMs` is null if the run
 * failed, since its duration says nothing about that of a complete run.
 */
export function finishJob(
  gate: Gate,
  runMs: number | null,
  now: number,
): void {
  gate.running--;
  if (runMs !== null) {
    gate.meanRunMs += LATEST_WEIGHT * (runMs - gate.meanRunMs);
  }
  startWaitingJobs(gate, now);
}
