import test from "ava";
import type { Backend } from "../backend/backend.ts";
import type { Mesh } from "../mesh/mesh.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { formatPrometheus } from "../metrics/format_prometheus.ts";
import { takeSnapshot } from "../metrics/take_snapshot.ts";
import { countStoreCalls } from "./count_store_calls.ts";
import { createRateLimitedLogger } from "./create_rate_limited_logger.ts";
import type { RowStore } from "./row_store.ts";
import { serverInstruments } from "./server_instruments.ts";
import { serverCounts } from "./server_counts.ts";
import { initialiseCounters } from "./initialise_counters.ts";
import type { Ticker } from "./ticker.ts";
import { trackStopStart } from "./track_stop_start.ts";
import { watchEventLoop } from "./watch_event_loop.ts";

/** A clock and a ticker that advance only on `tick`. */
function createClock() {
  const tasks: (() => void)[] = [];
  let now = 0;
  const ticker: Ticker = { every: (_intervalMs, run) => tasks.push(run) };
  return {
    ticker,
    steadyTime: () => now,
    tick(ms: number) {
      now += ms;
      for (const run of tasks) run();
    },
  };
}

const seriesOf = (metrics: ReturnType<typeof createMetrics>) =>
  formatPrometheus(takeSnapshot(metrics)).split("\n");

// `increase()` of Prometheus misses the first increment of a counter that
// appears with it.
test("counters with known labels start at 0", (t) => {
  const metrics = createMetrics();
  initialiseCounters(metrics);
  const series = seriesOf(metrics);
  for (
    const expected of [
      'requests_total{from="client",outcome="failure"} 0',
      'gate_refusals_total{reason="overload"} 0',
      'server_calls_total{code="",outcome="unknown",reason="overdue"} 0',
      'peer_links_lost_total{reason="given-up"} 0',
      "peer_calls_lost_total 0",
      'store_call_failures_total{operation="changes"} 0',
    ]
  ) t.true(series.includes(`nutmegmoor_${expected}`), expected);
});

test("calls to the store and their failures are counted", async (t) => {
  const metrics = createMetrics();
  const page = { rows: [], version: 3 };
  const store: RowStore = {
    list: () => Promise.resolve(page),
    changes: () => Promise.reject(new Error("status 503")),
    put: () => Promise.resolve(),
    reconnect: (address) => t.is(address, "127.0.0.1:1"),
  };
  const counted = countStoreCalls(store, metrics);
  t.is(await counted.list("op"), page);
  await t.throwsAsync(counted.changes("op", 3, 10), { message: "status 503" });
  await counted.put("op", "key", Buffer.alloc(0));
  counted.reconnect("127.0.0.1:1");
  const series = seriesOf(metrics);
  for (const operation of ["list", "changes", "put"]) {
    t.true(
      series.includes(
        `nutmegmoor_store_calls_total{operation="${operation}"} 1`,
      ),
    );
  }
  t.deepEqual(
    series.filter((line) => line.includes("failures_total{")),
    ['nutmegmoor_store_call_failures_total{operation="changes"} 1'],
  );
});

test("the maximum event loop delay expires", (t) => {
  const { ticker, steadyTime, tick } = createClock();
  const metrics = createMetrics();
  const maxDelay = watchEventLoop({ ticker, steadyTime, metrics });
  for (let i = 0; i < 10; i++) tick(100);
  t.is(maxDelay.read(), 0);
  tick(350);
  t.is(maxDelay.read(), 0.25);
  for (let i = 0; i < 295; i++) tick(100);
  t.is(maxDelay.read(), 0.25);
  for (let i = 0; i < 305; i++) tick(100);
  t.is(maxDelay.read(), 0);
  const [delays] = takeSnapshot(metrics).histograms;
  t.is(delays!.count, 611);
  t.is(delays!.sumMs, 250);
});

test("a stop is timed from its first tick", (t) => {
  const { ticker, steadyTime, tick } = createClock();
  let stopping = false;
  const since = trackStopStart(() => stopping, ticker, steadyTime);
  tick(100);
  t.is(since(), null);
  stopping = true;
  tick(100);
  tick(100);
  t.is(since(), 200);
});

test("a service without a server is counted as 0, not left out", (t) => {
  const index = { serving: new Map([["deep", [{}, {}]]]) };
  const mesh = { index: () => index } as unknown as Mesh;
  const backend = (available: boolean) =>
    ({ available: () => available }) as Backend;
  const known = ["front", "deep", "gone"];
  t.deepEqual(
    [...serverCounts("front", backend(true), mesh, known)],
    [["front", 1], ["deep", 2], ["gone", 0]],
  );
  t.deepEqual(
    [...serverCounts("deep", backend(false), mesh, [])],
    [["deep", 2]],
  );
});

test("the local server is in exactly one state", (t) => {
  const states = (leaving: boolean | null, available: boolean) => {
    const backend = {
      registration: () => leaving === null ? null : { leaving },
      available: () => available,
    } as Backend;
    const state = serverInstruments(backend, () => 0)
      .find(({ name }) => name === "server_state")!;
    return (state.read() as { labels: { state: string }; value: number }[])
      .filter(({ value }) => value === 1).map(({ labels }) => labels.state);
  };
  t.deepEqual(states(null, false), ["unknown"]);
  t.deepEqual(states(false, true), ["available"]);
  t.deepEqual(states(false, false), ["unavailable"]);
  t.deepEqual(states(true, false), ["leaving"]);
});

test("dropped log lines are counted by event", (t) => {
  const metrics = createMetrics();
  const written: string[] = [];
  const { log } = createRateLimitedLogger(
    (event) => written.push(event),
    () => 0,
    metrics,
  );
  for (let i = 0; i < 12; i++) log("call-refused", {});
  log("started", {});
  t.is(written.length, 11);
  t.deepEqual(
    seriesOf(metrics).filter((line) => line.includes("dropped_total{")),
    ['nutmegmoor_log_lines_dropped_total{event="call-refused"} 2'],
  );
});
