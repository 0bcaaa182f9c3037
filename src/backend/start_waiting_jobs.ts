import type { Gate } from "./gate.ts";
import { startJob } from "./start_job.ts";

// A run shorter than this share of the expected one is rare enough to give up
// on.
const LEAST_RUN_SHARE = 0.5;

/** Starts waiting jobs as far as there is room; refuses those out of time. */
export function startWaitingJobs(gate: Gate, now: number): void {
  while (gate.running < gate.limit && gate.waiting > 0) {
    const job = nextFlow(gate).jobs.shift()!;
    gate.waiting--;
    if (job.expiresAt - now < LEAST_RUN_SHARE * job.runMs) {
      job.refuse("expired", 0);
    } else startJob(gate, job);
  }
}

/** The waiting flow whose next job has the least start tag. */
function nextFlow({ flows }: Gate) {
  let best = null;
  for (const flow of flows.values()) {
    if (flow.jobs.length === 0) continue;
    if (best === null || flow.finishTagMs < best.finishTagMs) best = flow;
  }
  return best!;
}
