import type { Backend } from "../backend/backend.ts";
import type { ClientConnections } from "../edge/client_connections.ts";
import type { Mesh } from "../mesh/mesh.ts";
import { formatInstruments } from "../metrics/format_instruments.ts";
import { formatPrometheus } from "../metrics/format_prometheus.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { takeSnapshot } from "../metrics/take_snapshot.ts";
import type { Admission } from "../origin/admission.ts";
import type { Origin } from "../origin/origin.ts";
import type { RetryBudget } from "../origin/retry_budget.ts";
import { configurationInstruments } from "./configuration_instruments.ts";
import { Counters } from "./counters.ts";
import { daemonInstruments } from "./daemon_instruments.ts";
import { peerInstruments } from "./peer_instruments.ts";
import { processInstruments } from "./process_instruments.ts";
import { requestInstruments } from "./request_instruments.ts";
import { serverInstruments } from "./server_instruments.ts";
import { serviceInstruments } from "./service_instruments.ts";
import { serviceLoads } from "./service_loads.ts";
import { serverCounts } from "./server_counts.ts";
import type { Ticker } from "./ticker.ts";
import { trackStopStart } from "./track_stop_start.ts";
import { watchEventLoop } from "./watch_event_loop.ts";

const HELP: Readonly<Record<string, string>> = {
  ...Object.fromEntries(
    Object.entries(Counters).map(([name, { help }]) => [name, help]),
  ),
  request_ms: "Time from a request to its reply.",
  event_loop_delay_ms: "How late the event loop ran its timers.",
};

/** Returns a function that formats all metrics as Prometheus text. */
export function createExposition(
  {
    service,
    metrics,
    backend,
    mesh,
    origin,
    connections,
    admission,
    budget,
    watch,
    configuration,
    services,
    ready,
    stopping,
    ticker,
    steadyTime,
  }: {
    /** Service of the local backend server. */
    service: string;
    metrics: Metrics;
    backend: Backend;
    mesh: Mesh;
    origin: Origin;
    connections: ClientConnections;
    admission: Admission;
    budget: RetryBudget;
    watch: { storeReachable: () => boolean; lastConfirmedAt: () => number };
    configuration: () => { version: number; since: number } | null;
    /** Services named in the active configuration. */
    services: () => Iterable<string>;
    ready: () => boolean;
    stopping: () => boolean;
    ticker: Ticker;
    steadyTime: () => number;
  },
): () => string {
  const instruments = [
    ...daemonInstruments({
      ready,
      stoppingSince: trackStopStart(stopping, ticker, steadyTime),
      startedAt: steadyTime(),
      steadyTime,
    }),
    ...serverInstruments(backend, steadyTime),
    ...requestInstruments(origin, connections),
    ...peerInstruments(mesh),
    ...configurationInstruments({ configuration, ...watch, steadyTime }),
    ...serviceInstruments({
      loads: () => serviceLoads(service, backend, mesh),
      servers: () => serverCounts(service, backend, mesh, services()),
      admission,
      budget,
    }),
    watchEventLoop({ ticker, steadyTime, metrics }),
  ];
  return () =>
    formatPrometheus(takeSnapshot(metrics), HELP) +
    formatInstruments(instruments) + formatInstruments(processInstruments, "");
}
