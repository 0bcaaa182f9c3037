import { createBackend } from "../backend/create_backend.ts";
import { createServer } from "node:net";
import { createByteBudget } from "../core/create_byte_budget.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { createCallGraph } from "../costs/create_call_graph.ts";
import { decayCounts } from "../costs/decay_counts.ts";
import { createClientConnections } from "../edge/create_client_connections.ts";
import { createMesh } from "../mesh/create_mesh.ts";
import type { DaemonEntry } from "../mesh/daemon_entry.ts";
import { createAdmission } from "../origin/create_admission.ts";
import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { createOrigin } from "../origin/create_origin.ts";
import { createRetryBudget } from "../origin/create_retry_budget.ts";
import { resizeRetryBudget } from "../origin/resize_retry_budget.ts";
import { activateRoutes } from "../routes/activate_routes.ts";
import type { RouteTable } from "../routes/route_table.ts";
import type { ActiveRoutes } from "../routes/active_routes.ts";
import type { Adapter } from "./adapter.ts";
import { countStoreCalls } from "./count_store_calls.ts";
import { createExposition } from "./create_exposition.ts";
import { createForwarder } from "./create_forwarder.ts";
import { delay } from "./delay.ts";
import { FleetRows, joinFleet } from "./join_fleet.ts";
import { serviceLoads } from "./service_loads.ts";
import { logCallers } from "./log_callers.ts";
import type { Sidecar } from "./sidecar.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";
import { initialiseCounters } from "./initialise_counters.ts";
import { startTicker } from "./start_ticker.ts";
import { stopGracefully } from "./stop_gracefully.ts";
import { watchConfiguration } from "./watch_configuration.ts";

// Resolution of request deadlines.
const REQUEST_CHECK_INTERVAL_MS = 100;
const LINK_CHECK_INTERVAL_MS = 100;
// Call counts, retry budgets and idle connections change slowly.
const MAINTENANCE_INTERVAL_MS = 300;
const CALLER_CHECK_INTERVAL_MS = 1_000;
// Interval at which other daemons are told the load of the backend server.
const LOAD_REPORT_INTERVAL_MS = 200;
// Limits before the first configuration; ordinary clients stay within them.
const DEFAULT_LIMITS: RouteTable["limits"] = {
  headBytes: 16 * 1024,
  bodyBytes: 64 * 1024 * 1024,
  headTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
// The backend server isn't used until the store has told whether it departed
// before a restart, or until this time if the store can't be reached.
const JOIN_TIMEOUT_MS = 1_000;
// A departure is acknowledged after this time even if the store hasn't taken
// it: this process honours it as long as it runs.
const DEPARTURE_WRITE_TIMEOUT_MS = 800;
// Share of the memory for bodies that are being read or wait to be read. Each
// may also be copied into a frame and queued at the same time, and the runtime
// takes about half of the memory.
const BODY_MEMORY_SHARE = 1 / 8;
// Additional share for the bodies that the links to other daemons hold.
const LINK_BODY_MEMORY_SHARE = 1 / 5;

/** Starts the sidecar daemon of a backend server. */
export function startSidecar(
  { settings, adapter, log, metrics, random, steadyTime }: {
    settings: SidecarSettings;
    adapter: Adapter;
    log: Logger;
    metrics: Metrics;
    random: Random;
    /** Steady time in ms. */
    steadyTime: () => number;
  },
): Sidecar {
  const { name, service, dataCentre, listen } = settings;
  let { storeAddress, retries, gracePeriodMs } = settings;
  const { configurationRow } = adapter;
  const store = countStoreCalls(adapter.store, metrics);
  let routes: ActiveRoutes | null = null;
  let configuration:
    | { version: number; bytes: Uint8Array; since: number }
    | null = null;
  let stopPromise: Promise<void> | null = null;
  let leaving = false;
  let rejectingPeers = false;

  initialiseCounters(metrics);
  const graph = createCallGraph(service, steadyTime());
  const bodyBudget = createByteBudget(
    Math.floor(settings.memoryBytes * BODY_MEMORY_SHARE),
  );
  const admission = createAdmission(steadyTime());
  const backend = createBackend({
    address: settings.serverAddress,
    heartbeatMs: settings.heartbeatMs,
    protocol: adapter.serverProtocol,
    graph,
    services() {
      const { services } = mesh.index();
      return services.size + (services.has(service) ? 0 : 1);
    },
    budget: bodyBudget,
    random,
    steadyTime,
    log,
    metrics,
    onChange: () => mesh.announce(),
  });
  const ownEntry = (): DaemonEntry => {
    const server = backend.registration();
    return {
      name,
      address: settings.meshAddress,
      dataCentre,
      service,
      routeVersion: configuration?.version ?? 0,
      storeReachable: watch.storeReachable(),
      takesPieces: true,
      alone: mesh.peers.size === 0,
      server: server === null ? null : {
        id: server.id,
        slots: server.slots,
        leaving: leaving || !backend.available(),
        signedOff: server.leaving,
        startedAt: server.startedAt,
        cold: server.coldUntil > steadyTime(),
      },
    };
  };
  const activate = (bytes: Uint8Array, source: string) => {
    const parsed = adapter.readConfiguration(bytes);
    if (!parsed.ok) {
      const issue = parsed.issues[0]!;
      count(metrics, "configurations_unreadable", {});
      log("configuration-unreadable", {
        source,
        at: issue.path.join("."),
        message: issue.message,
      });
      return;
    }
    const table = parsed.value;
    const next = activateRoutes(routes, table, random);
    if (next === routes) return;
    const isFirst = routes === null;
    routes = next;
    configuration = { version: table.version, bytes, since: steadyTime() };
    log("configuration-in-force", {
      version: table.version,
      routes: table.routes.length,
      source,
    });
    if (source === "store") mesh.shareConfiguration();
    if (isFirst) void probeLocalServer(table);
  };
  /** Finds a running server after a restart, before its next heartbeat. */
  const probeLocalServer = async ({ services }: RouteTable) => {
    const healthPath = services.get(service)?.healthPath;
    if (healthPath === undefined || backend.registration() !== null) return;
    const probe = await adapter.probe(settings.serverAddress, healthPath);
    log("server-probed", { server: probe?.id, healthy: probe !== null });
    if (probe !== null) backend.applyProbe(probe);
  };
  const [meshHost, meshPort] = listen.mesh.split(":") as [string, string];
  const mesh = createMesh({
    host: meshHost,
    port: Number(meshPort),
    ownEntry,
    steadyTime,
    log,
    metrics,
    budget: createByteBudget(
      Math.floor(settings.memoryBytes * LINK_BODY_MEMORY_SHARE),
    ),
    configuration: () => configuration,
    onConfig(version, bytes) {
      if (version > (configuration?.version ?? 0)) activate(bytes, "peer");
    },
    random,
    onConfigConfirmed: () => watch.confirm(),
    onDeparted: (departure) => backend.restoreDeparture(departure),
    onLinkTimeout: () => store.reconnect(),
    serve(request, onOutcome) {
      if (!rejectingPeers) return backend.serve(request, onOutcome);
      count(metrics, "gate_refusals", { reason: "leaving" });
      onOutcome({ kind: "not-run", reason: "leaving", arrived: false }, {
        load: backend.load(),
        route: null,
      });
      return () => {};
    },
  });
  const ticker = startTicker(steadyTime);
  const watch = watchConfiguration({
    name,
    dataCentre,
    store,
    row: configurationRow,
    mesh,
    version: () => configuration?.version ?? 0,
    ticker,
    steadyTime,
    log,
    onChange: (bytes) => activate(bytes, "store"),
  });
  const retryBudget = createRetryBudget(retries, 1);
  const origin = createOrigin({
    caller: service,
    dataCentre,
    routes: () => routes,
    routeExpiringAt: (expiresAt) => backend.routeExpiringAt(expiresAt),
    forwarder: createForwarder({
      service,
      dataCentre,
      backend,
      mesh,
      steadyTime,
    }),
    graph,
    admission,
    budget: retryBudget,
    loads: () => serviceLoads(service, backend, mesh),
    random,
    steadyTime,
    log,
    metrics,
  });
  const connections = createClientConnections({
    origin,
    protocol: adapter.clientProtocol,
    limits: () => routes?.table.limits ?? DEFAULT_LIMITS,
    budget: bodyBudget,
    steadyTime,
    log,
  });
  const [callsHost, callsPort] = listen.calls.split(":") as [string, string];
  const server = createServer((socket) => connections.accept(socket));
  server.on("error", ({ message }) => log("listen-failed", { message }));
  server.listen({ host: callsHost, port: Number(callsPort), backlog: 1_024 });

  ticker.every(REQUEST_CHECK_INTERVAL_MS, () => {
    origin.tick();
    backend.tick();
  });
  ticker.every(LINK_CHECK_INTERVAL_MS, () => mesh.tick());
  ticker.every(MAINTENANCE_INTERVAL_MS, () => {
    connections.sweep();
    decayCounts(graph, steadyTime());
    resizeRetryBudget(retryBudget, retries, 1 + mesh.peers.size);
  });
  const lastLoggedCallers = new Map<string, string>();
  ticker.every(
    CALLER_CHECK_INTERVAL_MS,
    () => logCallers(log, graph, lastLoggedCallers),
  );
  ticker.every(
    LOAD_REPORT_INTERVAL_MS,
    () => mesh.reportLoad(backend.load(), backend.meanRunMs()),
  );

  setTimeout(backend.open, JOIN_TIMEOUT_MS);
  const joined = joinFleet({
    store,
    name,
    row: { address: settings.meshAddress },
    log,
    metrics,
    onDaemon: ({ address }) => mesh.addPeer(address),
    onDeparture: (departure) => backend.restoreDeparture(departure),
  });
  void joined.then(backend.open);

  const stop = async () => {
    await stopGracefully({
      gracePeriodMs,
      steadyTime,
      log,
      origin,
      backend,
      mesh,
      connections,
      othersAvailable: () =>
        (mesh.index().serving.get(service) ?? []).length > 0,
      announceLeaving() {
        leaving = true;
        mesh.announce();
      },
      rejectPeers() {
        rejectingPeers = true;
      },
    });
    server.close();
  };

  const ready = () => routes !== null && stopPromise === null;
  const exposition = createExposition({
    service,
    metrics,
    backend,
    mesh,
    origin,
    connections,
    admission,
    budget: retryBudget,
    watch,
    configuration: () => configuration,
    services: () => routes?.table.services.keys() ?? [],
    ready,
    stopping: () => stopPromise !== null,
    ticker,
    steadyTime,
  });

  return {
    ready,
    announce: (announcement) => backend.applyAnnouncement(announcement),
    async depart(departure) {
      backend.applyDeparture(departure);
      const server = backend.registration();
      if (server === null || server.id !== departure.id) return;
      if (!server.departed) return;
      const row = { id: server.id, startedAt: server.startedAt };
      await Promise.race([
        store.put(
          FleetRows.table,
          FleetRows.departureKey(name),
          Buffer.from(JSON.stringify(row)),
        ).catch((error) =>
          log("departure-not-stored", {
            server: row.id,
            fault: String(error),
          })
        ),
        delay(DEPARTURE_WRITE_TIMEOUT_MS),
      ]);
    },
    metrics: exposition,
    reload(next) {
      ({ retries, gracePeriodMs } = next);
      resizeRetryBudget(retryBudget, retries, 1 + mesh.peers.size);
      if (next.storeAddress === storeAddress) return;
      storeAddress = next.storeAddress;
      store.reconnect(storeAddress);
    },
    stop() {
      // A second signal doesn't restart a stop that is under way.
      stopPromise ??= stop();
      return stopPromise;
    },
  };
}
