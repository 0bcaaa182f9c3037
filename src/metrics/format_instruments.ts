import { sanitiseName } from "./sanitise_name.ts";
import { formatMetricHeader } from "./format_metric_header.ts";
import { formatLabels } from "./format_labels.ts";
import type { Instrument } from "./instrument.ts";
import { METRIC_PREFIX } from "./metric_prefix.ts";

const NAME_SUFFIXES: Record<Instrument["type"], string> = {
  gauge: "",
  counter: "_total",
};

/**
 * Reads instruments and formats their values as Prometheus text. Instruments
 * without a value are left out.
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
    const baseName = `${prefix}${sanitiseName(name)}`;
    const fullName = `${baseName}${unit === undefined ? "" : `_${unit}`}${
      NAME_SUFFIXES[type]
    }`;
    lines.push(...formatMetricHeader(fullName, type, help));
    for (const { labels, value } of samples) {
      lines.push(`${fullName}${formatLabels(labels)} ${formatValue(value)}`);
    }
  }
  return lines.map((line) => `${line}\n`).join("");
}

/** Prometheus spells infinity differently from JavaScript. */
function formatValue(value: number): string {
  if (value === Infinity) return "+Inf";
  return value === -Infinity ? "-Inf" : String(value);
}
