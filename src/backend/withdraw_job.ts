import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";

/** Takes a waiting job out; false if it doesn't wait. */
export function withdrawJob(gate: Gate, job: Job): boolean {
  const jobs = gate.flows.get(job.flow)?.jobs;
  const at = jobs?.indexOf(job) ?? -1;
  if (at < 0) return false;
  jobs!.splice(at, 1);
  gate.waiting--;
  return true;
}
