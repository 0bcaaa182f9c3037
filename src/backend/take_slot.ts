import type { Gate } from "./gate.ts";
import type { Job } from "./job.ts";

/** Starts a job in a free slot and charges its flow. */
export function takeSlot(gate: Gate, job: Job): void {
  const flow = gate.flows.get(job.flow);
  const startMs = Math.max(gate.virtualMs, flow?.finishMs ?? 0);
  gate.virtualMs = startMs;
  if (flow !== undefined) flow.finishMs = startMs + job.runMs / job.weight;
  gate.running++;
  job.start();
}
