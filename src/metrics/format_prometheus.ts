import { sanitiseName } from "./sanitise_name.ts";
import { formatMetricHeader } from "./format_metric_header.ts";
import { formatLabels } from "./format_labels.ts";
import { METRIC_PREFIX } from "./metric_prefix.ts";
import type { Snapshot } from "./snapshot.ts";

const MS_PER_S = 1_000;

/**
 * Writes a snapshot in the Prometheus text format. Counters end in `_total`;
 * histograms become summaries in seconds, the base unit of that format.
 */
export function formatPrometheus(
  snapshot: Snapshot,
  /** Texts by the names of metrics. */
  help: Readonly<Record<string, string>> = {},
): string {
  const lines: string[] = [];
  const typed = new Set<string>();
  const declare = (
    name: string,
    type: "counter" | "summary",
    text?: string,
  ) => {
    if (!typed.has(name)) lines.push(...formatMetricHeader(name, type, text));
    typed.add(name);
  };
  for (const { name, labels, value } of snapshot.counters) {
    const full = `${METRIC_PREFIX}${sanitiseName(name)}_total`;
    declare(full, "counter", help[name]);
    lines.push(`${full}${formatLabels(labels)} ${value}`);
  }
  for (const series of snapshot.histograms) {
    const full = `${METRIC_PREFIX}${
      sanitiseName(series.name).replace(/_ms$/, "")
    }_seconds`;
    declare(full, "summary", help[series.name]);
    lines.push(...summary(full, series));
  }
  declare(`${METRIC_PREFIX}overflowed_measurements_total`, "counter");
  lines.push(
    `${METRIC_PREFIX}overflowed_measurements_total ${snapshot.overflowed}`,
  );
  return `${lines.join("\n")}\n`;
}

function summary(name: string, series: Snapshot["histograms"][number]) {
  const { labels } = series;
  const quantile = (q: string, ms: number) =>
    `${name}${formatLabels({ ...labels, quantile: q })} ${ms / MS_PER_S}`;
  return [
    quantile("0.5", series.p50Ms),
    quantile("0.9", series.p90Ms),
    quantile("0.99", series.p99Ms),
    quantile("0.999", series.p999Ms),
    `${name}_sum${formatLabels(labels)} ${series.sumMs / MS_PER_S}`,
    `${name}_count${formatLabels(labels)} ${series.count}`,
  ];
}
