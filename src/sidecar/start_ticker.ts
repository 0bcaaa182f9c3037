import type { Ticker } from "./ticker.ts";

// Resolution of deadlines.
const TICK_MS = 100;

/**
 * Runs periodic tasks on a single timer, since waking the process costs more
 * than most of the tasks. Intervals are accurate to half a tick.
 */
export function startTicker(steadyTime: () => number): Ticker {
  const tasks: { intervalMs: number; run: () => void; dueAt: number }[] = [];
  setInterval(() => {
    const now = steadyTime();
    for (const task of tasks) {
      if (now + TICK_MS / 2 < task.dueAt) continue;
      task.dueAt = now + task.intervalMs;
      task.run();
    }
  }, TICK_MS);
  return {
    every(intervalMs, run) {
      tasks.push({ intervalMs, run, dueAt: steadyTime() + intervalMs });
    },
  };
}
