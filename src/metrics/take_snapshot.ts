import type { Family } from "./family.ts";
import type { Metrics } from "./metrics.ts";
import { quantiles } from "./quantiles.ts";
import type { Snapshot } from "./snapshot.ts";
import { US_PER_MS } from "./us_per_ms.ts";

type Labelled = { name: string; labels: Record<string, string> };
type NamedSeries<Series> = Labelled & { series: Series };
type Distribution = NonNullable<
  ReturnType<Metrics["histograms"]["get"]>
>["entries"][number]["series"];

const PERCENTILES = [50, 90, 99, 99.9];

/** Returns all counters and histograms since the start of the daemon. */
export function takeSnapshot(metrics: Metrics): Snapshot {
  return {
    counters: listSeries(metrics.counters).map(({ name, labels, series }) => ({
      name,
      labels,
      value: series.value,
    })),
    histograms: listSeries(metrics.histograms).map(summarise),
    overflowed: metrics.overflowed,
  };
}

function summarise(
  { name, labels, series: { histogram, sumMs } }: NamedSeries<Distribution>,
): Snapshot["histograms"][number] {
  // A percentile is the upper end of its bucket, which can exceed the maximum.
  const [p50, p90, p99, p999] = quantiles(histogram, PERCENTILES)
    .map((value) => Math.min(value, histogram.maxValue) / US_PER_MS);
  return {
    name,
    labels,
    count: histogram.totalCount,
    sumMs,
    p50Ms: p50!,
    p90Ms: p90!,
    p99Ms: p99!,
    p999Ms: p999!,
    maxMs: histogram.maxValue / US_PER_MS,
  };
}

function listSeries<Series>(
  families: Map<string, Family<Series>>,
): NamedSeries<Series>[] {
  return [...families].flatMap(([name, family]) => {
    const listed = family.entries.map(({ values, series }) => ({
      name,
      labels: Object.fromEntries(
        family.labelNames.map((label, index) => [label, values[index]!]),
      ),
      series,
    }));
    if (family.overflow === undefined) return listed;
    const labels = { overflow: "true" } as Record<string, string>;
    return [...listed, { name, labels, series: family.overflow }];
  });
}
