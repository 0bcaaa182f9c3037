import { classOf } from "./class_of.ts";
import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";

// A job that would have less than this share of the mean run time left when
// its turn comes is unlikely to finish.
const LEAST_RUN_SHARE = 0.8;

/**
 * Starts a job, lets it wait, or refuses it at once where it could not finish
 * in time behind the jobs that go ahead of it.
 */
export function offerJob(gate: Gate, job: Job, now: number): void {
  if (gate.running < gate.limit) {
    gate.running++;
    job.start();
    return;
  }
  const { meanRunMs, limit, queues } = gate;
  const own = classOf(job);
  let ahead = 1;
  for (let at = 0; at <= own; at++) ahead += queues[at]?.length ?? 0;
  const waitMs = ahead * meanRunMs / limit;
  if (now + waitMs + LEAST_RUN_SHARE * meanRunMs > job.expiresAt) {
    job.refuse("overload", waitMs);
    return;
  }
  (queues[own] ??= []).push(job);
  gate.waiting++;
}
