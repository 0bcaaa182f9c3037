import { mayOutlast } from "../calls/may_outlast.ts";
import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";

// A waiting job with less than this share of its expected run time left is
// refused while its origin can still tell the client to retry later.
const MIN_RUN_SHARE = 0.5;

/**
 * Refuses waiting jobs that have too little time left to run, or that may run
 * past `runsEndAt`, when the daemon stops.
 */
export function expireJobs(gate: Gate, now: number, runsEndAt: number): void {
  for (const flow of gate.flows.values()) {
    const refused = new Map<Job, "expired" | "leaving">();
    for (const job of flow.jobs) {
      const reason = refusalReason(job, now, runsEndAt);
      if (reason !== null) refused.set(job, reason);
    }
    if (refused.size === 0) continue;
    flow.jobs = flow.jobs.filter((job) => !refused.has(job));
    gate.waiting -= refused.size;
    for (const [job, reason] of refused) job.refuse(reason, 0);
  }
}

function refusalReason(
  { expiresAt, runMs }: Job,
  now: number,
  runsEndAt: number,
): "expired" | "leaving" | null {
  if (expiresAt <= now + MIN_RUN_SHARE * runMs) return "expired";
  return mayOutlast(now, runMs, runsEndAt) ? "leaving" : null;
}
