import type { Gate } from "./gate.ts";
import { startWaitingJobs } from "./start_waiting_jobs.ts";

// Weight of the newest run in the mean, about the last 30 runs.
const MEAN_WEIGHT = 0.03;

/**
 * Notes the end of a run and starts the next jobs. `runMs` is null for a run
 * that says nothing about the time a request takes.
 */
export function finishJob(
  gate: Gate,
  runMs: number | null,
  now: number,
): void {
  gate.running--;
  if (runMs !== null) {
    gate.meanRunMs += MEAN_WEIGHT * (runMs - gate.meanRunMs);
  }
  startWaitingJobs(gate, now);
}
