import { addSeries } from "./add_series.ts";
import type { Family } from "./family.ts";
import { findSeries } from "./find_series.ts";
import type { Labels } from "./labels.ts";
import type { Metrics } from "./metrics.ts";

const MAX_VALUE_CHARACTERS = 128;

type Kind = "counters" | "histograms";

/**
 * Returns the series of a measurement and creates it on first use. Callers
 * choose some label values, such as the service in a path, so their number is
 * capped and the rest shares one overflow series for each metric.
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
  const known = findSeries(family, labels);
  if (known !== undefined) return known;
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
