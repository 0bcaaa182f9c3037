import { sanitiseName } from "./sanitise_name.ts";
import { formatMetricHeader } from "./format_metric_header.ts";
import { formatLabels } from "./format_labels.ts";
import type { Instrument } from "./instrument.ts";
import { METRIC_PREFIX } from "./metric_prefix.ts";

const SUFFIXES: Record<Instrument["type"], string> = {
  gauge: "",
  counter: "_total",
};

/**
 * Reads instruments and writes them in the Prometheus text format. One without
 * a value is left out.
 */
export function formatInstruments(
  instruments: readonly Instrument[],
  prefix = METRIC_PREFIX,
): string {
  const lines: string[] = [];
  for (const { type, name, help, unit, read } of instruments) {
    const value = read();
    const samples = typeof value === "number"
      ? [{ labels: {}, value }]
      : value ?? [];
    if (samples.length === 0) continue;
    const base = `${prefix}${sanitiseName(name)}`;
    const full = `${base}${unit === undefined ? "" : `_${unit}`}${
      SUFFIXES[type]
    }`;
    lines.push(...formatMetricHeader(full, type, help));
    for (const { labels, value } of samples) {
      lines.push(`${full}${formatLabels(labels)} ${formatValue(value)}`);
    }
  }
  return lines.map((line) => `${line}\n`).join("");
}

/** The format spells infinity unlike JavaScript. */
function formatValue(value: number): string {
  if (value === Infinity) return "+Inf";
  return value === -Infinity ? "-Inf" : String(value);
}
