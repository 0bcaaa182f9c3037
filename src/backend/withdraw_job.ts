import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";

/** Removes a waiting job; returns false if the job is not waiting. */
export function withdrawJob(gate: Gate, job: Job): boolean {
  const jobs = gate.flows.get(job.flow)?.jobs;
  const index = jobs?.indexOf(job) ?? -1;
  if (index < 0) return false;
  jobs!.splice(index, 1);
  gate.waiting--;
  return true;
}
