import type { Snapshot } from "./snapshot.ts";

const PREFIX = "nutmegmoor_";
const MS_PER_S = 1_000;
const UNCLEAN = /[^a-zA-Z0-9_]/;
const NEEDS_ESCAPE = /[\\"\n]/;

/**
 * Writes a snapshot in the Prometheus text format. Counters end in `_total`;
 * histograms become summaries in seconds, the base unit of that format.
 */
export function formatPrometheus(snapshot: Snapshot): string {
  const lines: string[] = [];
  const typed = new Set<string>();
  const declare = (name: string, type: string) => {
    if (!typed.has(name)) lines.push(`# TYPE ${name} ${type}`);
    typed.add(name);
  };
  for (const { name, labels, value } of snapshot.counters) {
    const full = `${PREFIX}${clean(name)}_total`;
    declare(full, "counter");
    lines.push(`${full}${braces(labels)} ${value}`);
  }
  for (const series of snapshot.histograms) {
    const full = `${PREFIX}${clean(series.name).replace(/_ms$/, "")}_seconds`;
    declare(full, "summary");
    lines.push(...summary(full, series));
  }
  declare(`${PREFIX}overflowed_measurements_total`, "counter");
  lines.push(`${PREFIX}overflowed_measurements_total ${snapshot.overflowed}`);
  return `${lines.join("\n")}\n`;
}

function summary(name: string, series: Snapshot["histograms"][number]) {
  const { labels } = series;
  const quantile = (q: string, ms: number) =>
    `${name}${braces({ ...labels, quantile: q })} ${ms / MS_PER_S}`;
  return [
    quantile("0.5", series.p50Ms),
    quantile("0.9", series.p90Ms),
    quantile("0.99", series.p99Ms),
    quantile("0.999", series.p999Ms),
    `${name}_sum${braces(labels)} ${series.sumMs / MS_PER_S}`,
    `${name}_count${braces(labels)} ${series.count}`,
  ];
}

function braces(labels: Record<string, string>): string {
  let pairs = "";
  for (const name in labels) {
    if (pairs !== "") pairs += ",";
    pairs += `${clean(name)}="${escape(labels[name]!)}"`;
  }
  return pairs === "" ? "" : `{${pairs}}`;
}

/** Names may hold letters, digits and underscores only. */
function clean(name: string): string {
  return UNCLEAN.test(name) ? name.replace(/[^a-zA-Z0-9_]/g, "_") : name;
}

function escape(value: string): string {
  if (!NEEDS_ESCAPE.test(value)) return value;
  return value.replace(/\\/g, "\\\\").replace(/"/g, '\\"')
    .replace(/\n/g, "\\n");
}
