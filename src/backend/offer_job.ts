import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";
import { startJob } from "./start_job.ts";

// A job with less than this share of its expected run time left when its turn
// comes is unlikely to finish.
const MIN_RUN_SHARE = 0.8;

/**
 * Starts a job, queues it, or refuses it at once if it could not finish in time
 * after the jobs ahead of it.
 */
export function offerJob(gate: Gate, job: Job, now: number): void {
  if (gate.running < gate.limit && gate.waiting === 0) {
    startJob(gate, job);
    return;
  }
  const waitMs = expectedWait(gate, job);
  if (now + waitMs + MIN_RUN_SHARE * job.runMs > job.expiresAt) {
    job.refuse("overload", waitMs);
    return;
  }
  let flow = gate.flows.get(job.flow);
  if (flow === undefined) {
    flow = { jobs: [], weight: job.weight, finishTagMs: gate.virtualTimeMs };
    gate.flows.set(job.flow, flow);
  }
  flow.weight = job.weight;
  flow.jobs.push(job);
  gate.waiting++;
}

/**
 * Returns the expected wait in ms: until the job's own flow is served at its
 * share of the server, or until all waiting jobs are if that is sooner.
 */
function expectedWait({ flows, limit, meanRunMs }: Gate, job: Job): number {
  let totalWeight = job.weight;
  let totalMs = 0;
  let ownMs = 0;
  for (const [name, { jobs, weight }] of flows) {
    if (jobs.length === 0) continue;
    const queuedMs = jobs.length * jobs[0]!.runMs;
    totalMs += queuedMs;
    if (name === job.flow) ownMs = queuedMs;
    else totalWeight += weight;
  }
  const aheadMs = Math.min(totalMs, ownMs * totalWeight / job.weight);
  return (aheadMs + meanRunMs) / limit;
}
