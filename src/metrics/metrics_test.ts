import test from "ava";
import fc from "fast-check";
import { Float64Histogram } from "hdr-histogram-js";
import { count } from "./count.ts";
import { createMetrics } from "./create_metrics.ts";
import { formatInstruments } from "./format_instruments.ts";
import { formatPrometheus } from "./format_prometheus.ts";
import type { Instrument } from "./instrument.ts";
import { quantiles } from "./quantiles.ts";
import { record } from "./record.ts";
import { takeSnapshot } from "./take_snapshot.ts";

test("label order doesn't split a series", (t) => {
  const metrics = createMetrics();
  count(metrics, "calls", { service: "bookings", class: "critical" });
  count(metrics, "calls", { class: "critical", service: "bookings" }, 2);
  t.deepEqual(takeSnapshot(metrics).counters, [{
    name: "calls",
    labels: { class: "critical", service: "bookings" },
    value: 3,
  }]);
});

test("no measurement is lost and no series is added past the cap", (t) => {
  const label = fc.record({ a: fc.string(), b: fc.constantFrom("x", "y") });
  fc.assert(fc.property(fc.array(label), (all) => {
    const metrics = createMetrics({ counterSeries: 3, histogramSeries: 2 });
    for (const labels of all) {
      count(metrics, "calls", labels);
      record(metrics, "hop_ms", labels, 1);
    }
    const { counters, histograms } = takeSnapshot(metrics);
    const sum = (counts: number[]) => counts.reduce((x, y) => x + y, 0);
    t.is(sum(counters.map((each) => each.value)), all.length);
    t.is(sum(histograms.map((each) => each.count)), all.length);
    t.true(counters.length <= 4);
    t.true(histograms.length <= 3);
  }));
});

test("times below a millisecond and out of range are kept", (t) => {
  const metrics = createMetrics();
  for (const ms of [0.41, -1, NaN, Infinity, 1e12]) {
    record(metrics, "hop_ms", {}, ms);
  }
  const [hop] = takeSnapshot(metrics).histograms;
  t.is(hop!.count, 5);
  t.true(Number.isFinite(hop!.sumMs));
  // The median of 0, 0, 0.41 ms and twice the maximum of ten minutes.
  t.true(Math.abs(hop!.p50Ms - 0.41) < 0.01);
  t.is(hop!.p90Ms, hop!.maxMs);
});

function percentilesOf(values: number[]) {
  const histogram = new Float64Histogram(1, 600_000_000, 2);
  for (const value of values) histogram.recordValue(value);
  const percentiles = [1, 50, 90, 99, 99.9, 100];
  return {
    actual: quantiles(histogram, percentiles),
    expected: percentiles.map((each) => histogram.getValueAtPercentile(each)),
  };
}

test("percentiles from one pass are those of the library", (t) => {
  const values = fc.array(fc.integer({ min: 0, max: 600_000_000 }));
  fc.assert(fc.property(values, (all) => {
    const { actual, expected } = percentilesOf(all);
    t.deepEqual(actual, expected);
  }));
});

test("rounding of 99.9% doesn't select the next value", (t) => {
  const thousand = [...new Array<number>(999).fill(1), 600_000_000];
  const { actual, expected } = percentilesOf(thousand);
  t.deepEqual(actual, expected);
});

test("overlong label values don't occupy memory", (t) => {
  const metrics = createMetrics();
  count(metrics, "calls", { service: "x".repeat(10_000) });
  t.deepEqual(takeSnapshot(metrics).counters[0]!.labels, { overflow: "true" });
});

test("label text can't forge a line of the Prometheus exposition", (t) => {
  const metrics = createMetrics();
  count(metrics, "calls", { service: 'a"\n\\b' });
  record(metrics, "hop_ms", { class: "normal" }, 2);
  const text = formatPrometheus(takeSnapshot(metrics));
  t.true(text.includes('nutmegmoor_calls_total{service="a\\"\\n\\\\b"} 1\n'));
  t.true(text.includes('nutmegmoor_hop_seconds_count{class="normal"} 1\n'));
  t.true(text.includes("# TYPE nutmegmoor_hop_seconds summary\n"));
});

const gauge = (overrides: Partial<Instrument> = {}): Instrument => ({
  type: "gauge",
  name: "age",
  help: "Age.",
  read: () => 1,
  ...overrides,
});

test("a gauge without labels is one line after its help and type", (t) => {
  t.is(
    formatInstruments([gauge({ unit: "seconds", read: () => 0.25 })]),
    "# HELP nutmegmoor_age_seconds Age.\n" +
      "# TYPE nutmegmoor_age_seconds gauge\n" +
      "nutmegmoor_age_seconds 0.25\n",
  );
});

test("a gauge with labels has a line for each combination", (t) => {
  const read = () => [
    { labels: { service: "a", state: "up" }, value: 2 },
    { labels: { service: 'b"\n\\', state: "up" }, value: 0 },
  ];
  t.is(
    formatInstruments([gauge({ name: "servers", read })]),
    "# HELP nutmegmoor_servers Age.\n" +
      "# TYPE nutmegmoor_servers gauge\n" +
      'nutmegmoor_servers{service="a",state="up"} 2\n' +
      'nutmegmoor_servers{service="b\\"\\n\\\\",state="up"} 0\n',
  );
});

test("the name of a counter instrument ends in its unit and _total", (t) => {
  const text = formatInstruments(
    [gauge({ type: "counter", name: "cpu", unit: "seconds" })],
    "process_",
  );
  t.true(text.includes("# TYPE process_cpu_seconds_total counter\n"));
  t.true(text.endsWith("\nprocess_cpu_seconds_total 1\n"));
});

test("a gauge without a value is left out", (t) => {
  const empty = [gauge({ read: () => null }), gauge({ read: () => [] })];
  t.is(formatInstruments(empty), "");
});

test("infinities and NaN are spelled as in the Prometheus format", (t) => {
  const read = () =>
    [Infinity, -Infinity, NaN, 1e-9].map((value, at) => ({
      labels: { at: String(at) },
      value,
    }));
  const lines = formatInstruments([gauge({ read })]).split("\n");
  t.deepEqual(
    lines.slice(2, 6).map((line) => line.split(" ")[1]),
    ["+Inf", "-Inf", "NaN", "1e-9"],
  );
});

test("help text can't forge a line of the Prometheus exposition", (t) => {
  const metrics = createMetrics();
  count(metrics, "calls", {}, 0);
  const help = "One\nx 1";
  const counters = formatPrometheus(takeSnapshot(metrics), { calls: help });
  for (const text of [counters, formatInstruments([gauge({ help })])]) {
    t.regex(text, /^# HELP nutmegmoor_\w+ One\\nx 1\n# TYPE /);
  }
});
