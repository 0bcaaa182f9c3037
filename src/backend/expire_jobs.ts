import type { Gate } from "./gate.ts";

// With less than this share of a mean run left, a job is given up while its
// origin can still tell the client to come back.
const LEAST_RUN_SHARE = 0.5;

/** Refuses the waiting jobs that have too little time left to run. */
export function expireJobs(gate: Gate, now: number): void {
  const latest = now + LEAST_RUN_SHARE * gate.meanRunMs;
  for (const [at, queue] of gate.queues.entries()) {
    if (queue === undefined || queue.every((job) => job.expiresAt > latest)) {
      continue;
    }
    gate.queues[at] = queue.filter((job) => job.expiresAt > latest);
    const expired = queue.filter((job) => job.expiresAt <= latest);
    gate.waiting -= expired.length;
    for (const job of expired) job.refuse("expired", 0);
  }
}
