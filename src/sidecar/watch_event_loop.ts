import type { Instrument } from "../metrics/instrument.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { record } from "../metrics/record.ts";
import type { Ticker } from "./ticker.ts";

const TICK_MS = 100;
// The maximum covers the last one to two windows, which is longer than the
// usual scrape interval.
const WINDOW_MS = 30_000;
const MS_PER_S = 1_000;

/**
 * Records how late the event loop runs its timers. The delay monitor of Node.js
 * isn't used, since it would wake the process more often.
 */
export function watchEventLoop(
  { ticker, steadyTime, metrics }: {
    ticker: Ticker;
    steadyTime: () => number;
    metrics: Metrics;
  },
): Instrument {
  let lastTickAt = steadyTime();
  let windowEndsAt = lastTickAt + WINDOW_MS;
  let windowMaxMs = 0;
  let previousMaxMs = 0;
  ticker.every(TICK_MS, () => {
    const now = steadyTime();
    const lateMs = Math.max(0, now - lastTickAt - TICK_MS);
    lastTickAt = now;
    record(metrics, "event_loop_delay_ms", {}, lateMs);
    if (now >= windowEndsAt) {
      windowEndsAt = now + WINDOW_MS;
      previousMaxMs = windowMaxMs;
      windowMaxMs = 0;
    }
    windowMaxMs = Math.max(windowMaxMs, lateMs);
  });
  return {
    type: "gauge",
    name: "event_loop_delay_max",
    unit: "seconds",
    help: "Longest delay of a timer in the last half minute to minute.",
    read: () => Math.max(windowMaxMs, previousMaxMs) / MS_PER_S,
  };
}
