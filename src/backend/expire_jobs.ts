import type { Gate } from "./gate.ts";

// With less than this share of its run left, a job is given up while its
// origin can still tell the client to come back.
const LEAST_RUN_SHARE = 0.5;

/** Refuses the waiting jobs that have too little time left to run. */
export function expireJobs(gate: Gate, now: number): void {
  for (const flow of gate.flows.values()) {
    const expired = flow.jobs.filter(({ expiresAt, runMs }) =>
      expiresAt <= now + LEAST_RUN_SHARE * runMs
    );
    if (expired.length === 0) continue;
    flow.jobs = flow.jobs.filter((job) => !expired.includes(job));
    gate.waiting -= expired.length;
    for (const job of expired) job.refuse("expired", 0);
  }
}
