import type { Gate } from "./gate.ts";
import { startJob } from "./start_job.ts";

// Few runs take less than this share of their expected time, so a job with less
// time left is refused.
const MIN_RUN_SHARE = 0.5;

/**
 * Starts waiting jobs while slots are free; refuses those with too little time
 * left to run.
 */
export function startWaitingJobs(gate: Gate, now: number): void {
  while (gate.running < gate.limit && gate.waiting > 0) {
    const job = nextFlow(gate).jobs.shift()!;
    gate.waiting--;
    if (job.expiresAt - now < MIN_RUN_SHARE * job.runMs) {
      job.refuse("expired", 0);
    } else startJob(gate, job);
  }
}

/**
 * Returns the flow with waiting jobs whose next job has the lowest start tag.
 */
function nextFlow({ flows }: Gate) {
  let best = null;
  for (const flow of flows.values()) {
    if (flow.jobs.length === 0) continue;
    if (best === null || flow.finishTagMs < best.finishTagMs) best = flow;
  }
  return best!;
}
