import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";

/** Starts a job in a free slot and advances the finish tag of its flow. */
export function startJob(gate: Gate, job: Job): void {
  const flow = gate.flows.get(job.flow);
  const startMs = Math.max(gate.virtualTimeMs, flow?.finishTagMs ?? 0);
  gate.virtualTimeMs = startMs;
  if (flow !== undefined) flow.finishTagMs = startMs + job.runMs / job.weight;
  gate.running++;
  job.start();
}
