import type { Gate } from "./gate.ts";
import { startWaitingJobs } from "./start_waiting_jobs.ts";

// Weight of the newest run in the moving mean, which covers about 30 runs.
const LATEST_WEIGHT = 0.03;

/**
 * Records the end of a run and starts waiting jobs. `runMs` is null if the run
 * tells nothing about how long requests take.
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
