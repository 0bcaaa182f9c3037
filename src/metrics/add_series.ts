import type { Family } from "./family.ts";
import type { Labels } from "./labels.ts";

type Branch = Map<string, unknown>;

/** Adds the series of a label combination that the family doesn't have yet. */
export function addSeries<Series>(
  family: Family<Series>,
  { labels, series }: { labels: Labels; series: Series },
): void {
  const values = family.labelNames.map((name) => labels[name] ?? "");
  family.entries.push({ values, series });
  const last = values.at(-1);
  if (last === undefined) {
    family.root = series;
    return;
  }
  let branch = (family.root ??= new Map()) as Branch;
  for (const value of values.slice(0, -1)) {
    const next = branch.get(value) as Branch | undefined ?? new Map();
    branch.set(value, next);
    branch = next;
  }
  branch.set(last, series);
}
