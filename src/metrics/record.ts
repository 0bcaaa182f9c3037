import { Float64Histogram } from "hdr-histogram-js";
import { findSeries } from "./find_series.ts";
import type { Labels } from "./labels.ts";
import type { Metrics } from "./metrics.ts";
import { getOrCreateSeries } from "./get_or_create_series.ts";
import { US_PER_MS } from "./us_per_ms.ts";

// Ten minutes, the longest deadline; longer times are recorded as this.
const MAX_US = 600_000_000;
const SIGNIFICANT_DIGITS = 2;

/** Records a duration in ms, resolved to 1 us and two significant digits. */
export function record(
  metrics: Metrics,
  name: string,
  labels: Labels,
  ms: number,
): void {
  const families = metrics.histograms;
  const family = families.get(name);
  const existing = family === undefined
    ? undefined
    : findSeries(family, labels);
  const series = existing ?? getOrCreateSeries(metrics, {
    kind: "histograms",
    families,
    name,
    labels,
    create,
  });
  // A time difference can be negative or NaN, for which there is no bucket.
  const us = ms > 0 ? Math.min(Math.round(ms * US_PER_MS), MAX_US) : 0;
  series.histogram.recordValue(us);
  series.sumMs += us / US_PER_MS;
}

function create() {
  // 32-bit counts would overflow within weeks on a busy daemon.
  const histogram = new Float64Histogram(1, MAX_US, SIGNIFICANT_DIGITS);
  return { histogram, sumMs: 0 };
}
