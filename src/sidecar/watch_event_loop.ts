import type { Instrument } from "../metrics/instrument.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { record } from "../metrics/record.ts";
import type { Ticker } from "./ticker.ts";

const TICK_MS = 100;
// The longest delay is kept for one to two windows, longer than the usual time
// between two readers.
const WINDOW_MS = 30_000;
const MS_PER_S = 1_000;

/**
 * Records how late the event loop runs its timers. A monitor of the runtime
 * would wake the process more often.
 */
export function watchEventLoop(
  { ticker, steadyTime, metrics }: {
    ticker: Ticker;
    steadyTime: () => number;
    metrics: Metrics;
  },
): Instrument {
  let tickedAt = steadyTime();
  let windowEndsAt = tickedAt + WINDOW_MS;
  let longestMs = 0;
  let longestBeforeMs = 0;
  ticker.every(TICK_MS, () => {
    const now = steadyTime();
    const lateMs = Math.max(0, now - tickedAt - TICK_MS);
    tickedAt = now;
    record(metrics, "event_loop_delay_ms", {}, lateMs);
    if (now >= windowEndsAt) {
      windowEndsAt = now + WINDOW_MS;
      longestBeforeMs = longestMs;
      longestMs = 0;
    }
    longestMs = Math.max(longestMs, lateMs);
  });
  return {
    type: "gauge",
    name: "event_loop_delay_max",
    unit: "seconds",
    help: "Longest delay of a timer in the last half minute to minute.",
    read: () => Math.max(longestMs, longestBeforeMs) / MS_PER_S,
  };
}
