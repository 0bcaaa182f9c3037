import { z } from "zod";
import { formatPrometheus } from "../../metrics/format_prometheus.ts";
import { Snapshot } from "../../metrics/snapshot.ts";
import { argumentSchema } from "../argument_schema.ts";
import { defineCommand } from "../define_command.ts";
import { ExitStatus } from "../exit_status.ts";
import { fetchValue } from "../fetch_value.ts";
import { formatTable } from "../format_table.ts";
import { option } from "../option.ts";

/** Shows the counters and histograms of one daemon. */
export const metrics = defineCommand({
  usage: "metrics",
  summary: "Show the counters and latency percentiles of a daemon",
  options: {
    daemon: option.daemon,
    json: option.json,
    prometheus: {
      type: "boolean",
      default: false,
      describe: "Print the Prometheus text format",
    },
  },
  examples: [["$0 metrics --prometheus", ""]],
  schema: z.object({
    daemon: argumentSchema.listener,
    json: argumentSchema.flag,
    prometheus: argumentSchema.flag,
  }).refine((args) => !(args.json && args.prometheus), {
    error: "either --json or --prometheus",
    path: ["prometheus"],
  }),
  async run({ daemon, json, prometheus }, { out, err }) {
    const fetched = await fetchValue(Snapshot, {
      daemon,
      method: "GET",
      path: "/-/metrics",
    });
    if (!fetched.ok) {
      err(`${fetched.message}\n`);
      return fetched.status;
    }
    if (json) out(`${JSON.stringify(fetched.value)}\n`);
    else out((prometheus ? formatPrometheus : formatTables)(fetched.value));
    return ExitStatus.ok;
  },
});

function formatTables({ counters, histograms }: Snapshot): string {
  const counts = counters.map(({ name, labels, value }) => [
    name,
    formatLabels(labels),
    String(value),
  ]);
  const times = histograms.map((each) => [
    each.name,
    formatLabels(each.labels),
    String(each.count),
    ...[each.p50Ms, each.p99Ms, each.p999Ms, each.maxMs].map((ms) =>
      ms.toFixed(2)
    ),
  ]);
  return formatTable([["COUNTER", "LABELS", "VALUE"], ...counts]) + "\n" +
    formatTable([
      ["HISTOGRAM (MS)", "LABELS", "COUNT", "P50", "P99", "P99.9", "MAX"],
      ...times,
    ]);
}

function formatLabels(labels: Record<string, string>): string {
  return Object.entries(labels).map(([name, value]) => `${name}=${value}`)
    .join(" ");
}
