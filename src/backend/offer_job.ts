import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";
import { startJob } from "./start_job.ts";

// A job that would have less than this share of its run time left when its
// turn comes is unlikely to finish.
const LEAST_RUN_SHARE = 0.8;

/**
 * Starts a job, lets it wait, or refuses it at once where it could not finish
 * in time behind the jobs that go ahead of it.
 */
export function offerJob(gate: Gate, job: Job, now: number): void {
  if (gate.running < gate.limit && gate.waiting === 0) {
    startJob(gate, job);
    return;
  }
  const waitMs = expectedWait(gate, job);
  if (now + waitMs + LEAST_RUN_SHARE * job.runMs > job.expiresAt) {
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

/** The own flow at its share of the server, or all that waits if that is less. */
function expectedWait({ flows, limit, meanRunMs }: Gate, job: Job): number {
  let weights = job.weight;
  let all = 0;
  let own = 0;
  for (const [name, { jobs, weight }] of flows) {
    if (jobs.length === 0) continue;
    const work = jobs.length * jobs[0]!.runMs;
    all += work;
    if (name === job.flow) own = work;
    else weights += weight;
  }
  const ahead = Math.min(all, own * weights / job.weight);
  return (ahead + meanRunMs) / limit;
}
