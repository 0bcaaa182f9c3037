import { classOf } from "./class_of.ts";
import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";

/** Takes a waiting job out; false if it doesn't wait. */
export function withdrawJob(gate: Gate, job: Job): boolean {
  const queue = gate.queues[classOf(job)];
  const at = queue?.indexOf(job) ?? -1;
  if (at < 0) return false;
  queue!.splice(at, 1);
  gate.waiting--;
  return true;
}
