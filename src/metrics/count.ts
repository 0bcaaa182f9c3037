import { findSeries } from "./find_series.ts";
import type { Labels } from "./labels.ts";
import type { Metrics } from "./metrics.ts";
import { getOrCreateSeries } from "./get_or_create_series.ts";

/** Adds to a counter; its first use fixes the names of its labels. */
export function count(
  metrics: Metrics,
  name: string,
  labels: Labels,
  by = 1,
): void {
  const families = metrics.counters;
  const family = families.get(name);
  const existing = family === undefined
    ? undefined
    : findSeries(family, labels);
  const counter = existing ?? getOrCreateSeries(metrics, {
    kind: "counters",
    families,
    name,
    labels,
    create: () => ({ value: 0 }),
  });
  counter.value += by;
}
