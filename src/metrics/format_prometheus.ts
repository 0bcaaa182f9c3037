import { sanitiseName } from "./sanitise_name.ts";
import { formatMetricHeader } from "./format_metric_header.ts";
import { formatLabels } from "./format_labels.ts";
import { METRIC_PREFIX } from "./metric_prefix.ts";
import type { Snapshot } from "./snapshot.ts";

const MS_PER_S = 1_000;

/**
 * Formats a snapshot as Prometheus text. Names of counters end in `_total`;
 * histograms become summaries in seconds, the base unit of Prometheus.
 */
export function formatPrometheus(
  snapshot: Snapshot,
  /** Help texts by the name of the metric. */
  help: Readonly<Record<string, string>> = {},
): string {
  const lines: string[] = [];
  // Metrics whose HELP and TYPE lines have been written.
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
    const fullName = `${METRIC_PREFIX}${sanitiseName(name)}_total`;
    declare(fullName, "counter", help[name]);
    lines.push(`${fullName}${formatLabels(labels)} ${value}`);
  }
  for (const series of snapshot.histograms) {
    const fullName = `${METRIC_PREFIX}${
      sanitiseName(series.name).replace(/_ms$/, "")
    }_seconds`;
    declare(fullName, "summary", help[series.name]);
    lines.push(...summary(fullName, series));
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
