import type { Gate } from "./gate.ts";

// A run shorter than this share of the mean is rare enough to give up on.
const LEAST_RUN_SHARE = 0.5;

/** Starts waiting jobs as far as there is room; refuses those out of time. */
export function nextJobs(gate: Gate, now: number): void {
  const least = LEAST_RUN_SHARE * gate.meanRunMs;
  for (const queue of gate.queues) {
    while (queue !== undefined && queue.length > 0) {
      if (gate.running >= gate.limit) return;
      const job = queue.shift()!;
      gate.waiting--;
      if (job.expiresAt - now < least) job.refuse("expired", 0);
      else {
        gate.running++;
        job.start();
      }
    }
  }
}
