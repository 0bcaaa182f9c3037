import type { Metrics } from "./metrics.ts";

// Formatting all metrics blocks the event loop that handles requests. With both
// caps reached it takes 14 to 25 ms in compiled code, so the caps are kept
// close to what is needed.
const MAX_COUNTER_SERIES = 2_048;
// The series take about 3 MiB with both caps reached.
const MAX_HISTOGRAM_SERIES = 128;

/**
 * Creates empty metrics; past a cap, label combinations share an overflow
 * series.
 */
export function createMetrics(
  {
    counterSeries = MAX_COUNTER_SERIES,
    histogramSeries = MAX_HISTOGRAM_SERIES,
  }: {
    counterSeries?: number;
    histogramSeries?: number;
  } = {},
): Metrics {
  return {
    counters: new Map(),
    histograms: new Map(),
    caps: { counters: counterSeries, histograms: histogramSeries },
    used: { counters: 0, histograms: 0 },
    overflowed: 0,
  };
}
