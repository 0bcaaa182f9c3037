import { outlasts } from "../calls/outlasts.ts";
import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";

// With less than this share of its run left, a job is given up while its
// origin can still tell the client to come back.
const LEAST_RUN_SHARE = 0.5;

/**
 * Refuses the waiting jobs that have too little time left to run, or that may
 * run past `runsEndAt`, when the daemon ends.
 */
export function expireJobs(gate: Gate, now: number, runsEndAt: number): void {
  for (const flow of gate.flows.values()) {
    const refused = flow.jobs.filter((job) =>
      reasonToRefuse(job, now, runsEndAt) !== null
    );
    if (refused.length === 0) continue;
    flow.jobs = flow.jobs.filter((job) => !refused.includes(job));
    gate.waiting -= refused.length;
    for (const job of refused) {
      job.refuse(reasonToRefuse(job, now, runsEndAt)!, 0);
    }
  }
}

function reasonToRefuse(
  { expiresAt, runMs }: Job,
  now: number,
  runsEndAt: number,
): "expired" | "leaving" | null {
  if (expiresAt <= now + LEAST_RUN_SHARE * runMs) return "expired";
  return outlasts(now, runMs, runsEndAt) ? "leaving" : null;
}
