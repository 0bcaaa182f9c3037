import { addSeries } from "./add_series.ts";
import type { Family } from "./family.ts";
import { findSeries } from "./find_series.ts";
import type { Labels } from "./labels.ts";
import type { Metrics } from "./metrics.ts";

const MAX_VALUE_CHARACTERS = 128;

type Kind = "counters" | "histograms";

/**
 * Returns the series of a measurement and creates it on first use. Clients
 * control some label values, such as the service in a path, so the number of
 * series is capped; label combinations past the cap, and those with overlong
 * values, share one overflow series per metric.
 */
export function getOrCreateSeries<Series>(
  metrics: Metrics,
  { kind, families, name, labels, create }: {
    kind: Kind;
    families: Map<string, Family<Series>>;
    name: string;
    labels: Labels;
    create: () => Series;
  },
): Series {
  let family = families.get(name);
  if (family === undefined) {
    const labelNames = Object.keys(labels).sort();
    family = { labelNames, root: undefined, entries: [], overflow: undefined };
    families.set(name, family);
  }
  const existing = findSeries(family, labels);
  if (existing !== undefined) return existing;
  if (metrics.used[kind] >= metrics.caps[kind] || hasLongValue(labels)) {
    metrics.overflowed++;
    return family.overflow ??= create();
  }
  metrics.used[kind]++;
  const series = create();
  addSeries(family, { labels, series });
  return series;
}

function hasLongValue(labels: Labels): boolean {
  return Object.values(labels).some((value) =>
    value.length > MAX_VALUE_CHARACTERS
  );
}
