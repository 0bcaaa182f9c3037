import { sanitiseName } from "./sanitise_name.ts";
import type { Labels } from "./labels.ts";

const NEEDS_ESCAPE = /[\\"\n]/;

/** Formats the labels of a sample as Prometheus text. */
export function formatLabels(labels: Labels): string {
  let pairs = "";
  for (const name in labels) {
    if (pairs !== "") pairs += ",";
    pairs += `${sanitiseName(name)}="${escape(labels[name]!)}"`;
  }
  return pairs === "" ? "" : `{${pairs}}`;
}

function escape(value: string): string {
  if (!NEEDS_ESCAPE.test(value)) return value;
  return value.replace(/\\/g, "\\\\").replace(/"/g, '\\"')
    .replace(/\n/g, "\\n");
}
