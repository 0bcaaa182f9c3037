// Measures the hot path of counters and histograms.
// Run: node --expose-gc --import=tsx bench/metrics.ts
import { performance } from "node:perf_hooks";
import process from "node:process";
import { count } from "../src/metrics/count.ts";
import { createMetrics } from "../src/metrics/create_metrics.ts";
import { formatPrometheus } from "../src/metrics/format_prometheus.ts";
import { record } from "../src/metrics/record.ts";
import { takeSnapshot } from "../src/metrics/take_snapshot.ts";

const CALLS = 1_000_000;
const WARMUP = 100_000;
const SERVICES = ["inventory", "payments", "dispatch", "bookings"];
const CLASSES = ["sheddable", "normal", "critical"];

function measure(name: string, call: (index: number) => void): void {
  for (let index = 0; index < WARMUP; index++) call(index);
  const start = performance.now();
  for (let index = 0; index < CALLS; index++) call(index);
  const ns = (performance.now() - start) * 1e6 / CALLS;
  console.log(`${name.padEnd(28)} ${Math.round(ns)} ns`);
}

const metrics = createMetrics();
measure("count, no labels", () => count(metrics, "ticks", {}));
measure("count, three labels", (index) =>
  count(metrics, "calls", {
    service: SERVICES[index & 3]!,
    class: CLASSES[index % 3]!,
    outcome: "answered",
  }));
measure("record, two labels", (index) =>
  record(metrics, "hop_ms", {
    service: SERVICES[index & 3]!,
    class: CLASSES[index % 3]!,
  }, (index & 1023) / 100));

globalThis.gc?.();
const before = process.memoryUsage();
for (let index = 0; index < 100_000; index++) {
  count(metrics, "calls", { service: `s${index}`, class: "", outcome: "" });
  record(metrics, "hop_ms", { service: `s${index}`, class: "" }, 1);
}
globalThis.gc?.();
const after = process.memoryUsage();
const mib = (after.heapUsed + after.arrayBuffers - before.heapUsed -
  before.arrayBuffers) / 1024 / 1024;
console.log(`memory at both caps          ${mib.toFixed(1)} MiB`);
const start = performance.now();
const text = formatPrometheus(takeSnapshot(metrics));
console.log(
  `exposition at both caps      ${
    (performance.now() - start).toFixed(1)
  } ms, ${text.length} bytes`,
);
