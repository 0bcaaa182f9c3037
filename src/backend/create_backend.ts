import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { CallRequest } from "../calls/call_request.ts";
import { mayOutlast } from "../calls/may_outlast.ts";
import type { ByteBudget } from "../core/byte_budget.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { updateMovingAverage } from "../core/update_moving_average.ts";
import type { CallGraph } from "../costs/call_graph.ts";
import { costsOf } from "../costs/costs_of.ts";
import { isRoot } from "../costs/is_root.ts";
import { recordCaller } from "../costs/record_caller.ts";
import { recordRunEnd } from "../costs/record_run_end.ts";
import { recordRunStart } from "../costs/record_run_start.ts";
import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { applyAnnouncement } from "./apply_announcement.ts";
import { applyDeparture } from "./apply_departure.ts";
import { applyProbe } from "./apply_probe.ts";
import type { Backend } from "./backend.ts";
import { createConnectionPool } from "./create_connection_pool.ts";
import { createGate } from "./create_gate.ts";
import { expireJobs } from "./expire_jobs.ts";
import { finishJob } from "./finish_job.ts";
import { flowWeight } from "./flow_weight.ts";
import { gateLoad } from "./gate_load.ts";
import type { Job } from "./job.ts";
import { offerJob } from "./offer_job.ts";
import type { Registration } from "./registration.ts";
import { restoreDeparture } from "./restore_departure.ts";
import { routeExpiringAt } from "./route_expiring_at.ts";
import type { ServerConnection } from "./server_connection.ts";
import type { ServerProtocol } from "./server_protocol.ts";
import { withdrawJob } from "./withdraw_job.ts";

// Servers slow down when nearly full, so a few slots stay free.
const USABLE_SLOT_SHARE = 0.95;
// A server that was silent for this many heartbeat intervals has crashed.
const MISSED_HEARTBEATS = 3;
// Share of the outcomes that carry a route report. The measurements of a route
// change slowly, so a small share suffices.
const ROUTE_REPORT_SHARE = 0.1;
// Number of first outcomes that all carry a route report, since other daemons
// may have no measurements of the routes yet.
const INITIAL_ROUTE_REPORTS = 500;
// The server stops at the deadline it was given; this leaves time for its
// response to arrive.
const DEADLINE_MARGIN_MS = 100;
// Consecutive refused connections after which the server counts as lost.
const MAX_REFUSED_CONNECTIONS = 3;
const SERVER_ERROR = 500;

type Run = {
  request: CallRequest;
  connection: ServerConnection;
  cancelled: boolean;
  /** Whether the server exceeded the deadline. */
  overdue: boolean;
};

/** Creates the interface to the backend server at `address` (`IP:PORT`). */
export function createBackend(
  {
    address,
    heartbeatMs,
    protocol,
    graph,
    services,
    budget,
    random,
    steadyTime,
    log,
    metrics,
    onChange,
  }: {
    address: string;
    heartbeatMs: number;
    protocol: ServerProtocol;
    graph: CallGraph;
    /** Number of services in the fleet. */
    services: () => number;
    /** Accounts for the bytes of responses that are being read. */
    budget: ByteBudget;
    random: Random;
    steadyTime: () => number;
    log: Logger;
    metrics: Metrics;
    /**
     * Called when something that other daemons must know about the server
     * changes.
     */
    onChange: () => void;
  },
): Backend {
  let registration: Registration | null = null;
  let opened = false;
  let wasAvailable = false;
  let reportCount = 0;
  let refusedConnections = 0;
  let runsEndAt = Infinity;
  const gate = createGate(1);
  const runs = new Set<Run>();
  const pool = createConnectionPool({ address, protocol, budget, steadyTime });

  const isAlive = (now: number) =>
    registration !== null &&
    now - registration.heardAt < MISSED_HEARTBEATS * heartbeatMs &&
    refusedConnections < MAX_REFUSED_CONNECTIONS;
  const available = () =>
    opened && registration !== null && !registration.leaving &&
    isAlive(steadyTime());
  const report = (route: string): CallReport => {
    const early = reportCount++ < INITIAL_ROUTE_REPORTS;
    const root = early || random() < ROUTE_REPORT_SHARE
      ? isRoot(graph, route, services())
      : undefined;
    return {
      load: gateLoad(gate),
      route: root === undefined ? null : { costs: costsOf(graph, route), root },
    };
  };

  const update = (next: Registration | null) => {
    const previous = registration;
    registration = next;
    if (next === null) return;
    gate.limit = Math.max(1, Math.floor(next.slots * USABLE_SLOT_SHARE));
    const changed = previous?.id !== next.id ||
      previous.startedAt !== next.startedAt ||
      previous.leaving !== next.leaving ||
      previous.slots !== next.slots || isCold(previous) !== isCold(next);
    if (previous?.startedAt !== next.startedAt) pool.clear();
    if (next !== previous) refusedConnections = 0;
    if (!changed) return;
    log("server-changed", {
      server: next.id,
      leaving: next.leaving,
      departed: next.departed,
      slots: next.slots,
      sequence: next.sequence,
    });
    onChange();
  };

  function startRun(
    original: CallRequest,
    onOutcome: (outcome: CallOutcome, report: CallReport) => void,
  ): Run {
    const startedAt = steadyTime();
    const expiresAt = Math.min(original.expiresAt, runsEndAt);
    const request = { ...original, expiresAt };
    recordRunStart(graph, request.route, request.repeatedShare);
    const run: Run = {
      request,
      connection: pool.take(request.id),
      cancelled: false,
      overdue: false,
    };
    runs.add(run);
    run.connection.send(request, startedAt, (outcome) => {
      runs.delete(run);
      const now = steadyTime();
      const answered = outcome.kind === "answered";
      const served = answered && outcome.status < SERVER_ERROR;
      if (answered) {
        recordRunEnd(graph, request.route, now);
        refusedConnections = 0;
        if (registration !== null) {
          registration = { ...registration, heardAt: now };
        }
      }
      if (served) {
        updateMovingAverage(graph.slotMs, request.route, now - startedAt);
      } else if (outcome.kind === "not-run") {
        if (outcome.reason === "connect-failed") recordRefusedConnection();
        if (outcome.reason === "other-server") forgetReplacedServer(request);
      }
      countCall(run, outcome);
      finishJob(gate, served ? now - startedAt : null, now);
      if (!answered) logFailure(request, outcome, now - startedAt);
      if (!run.cancelled) onOutcome(outcome, report(request.route));
    });
    return run;
  }
  const countCall = (run: Run, outcome: CallOutcome) =>
    count(
      metrics,
      "server_calls",
      CALL_LABELS[outcome.kind](outcome as never, run),
    );
  const logFailure = (
    { id, route, serverId }: CallRequest,
    outcome: Exclude<CallOutcome, { kind: "answered" }>,
    ms: number,
  ) =>
    log(outcome.kind === "unknown" ? "call-failed" : "call-rejected", {
      id,
      route,
      server: serverId,
      reason: outcome.reason,
      ms: Math.round(ms),
      load: gateLoad(gate),
    });
  const recordRefusal = (
    { id, route, serverId }: CallRequest,
    reason: string,
    waitMs: number,
  ) => {
    count(metrics, "gate_refusals", { reason });
    log("call-refused", {
      id,
      route,
      server: serverId,
      reason,
      load: gateLoad(gate),
      waiting: gate.waiting,
      waitMs: Math.round(waitMs),
    });
  };
  const recordRefusedConnection = () => {
    refusedConnections++;
    if (refusedConnections !== MAX_REFUSED_CONNECTIONS) return;
    log("server-lost", { server: registration?.id, reason: "connect-failed" });
    onChange();
  };
  const forgetReplacedServer = ({ serverId }: CallRequest) => {
    if (registration === null || registration.id !== serverId) return;
    log("server-replaced", { server: serverId });
    registration = null;
    onChange();
  };

  return {
    registration: () => registration,
    available,
    load: () => gateLoad(gate),
    meanRunMs: () => Math.round(gate.meanRunMs),
    applyAnnouncement: (announcement) =>
      update(applyAnnouncement(registration, announcement, steadyTime())),
    applyDeparture: (departure) =>
      update(applyDeparture(registration, departure, steadyTime())),
    applyProbe: (probe) =>
      update(applyProbe(registration, probe, steadyTime())),
    open() {
      if (opened) return;
      opened = true;
      onChange();
    },
    restoreDeparture(departure) {
      const now = steadyTime();
      // A server registered by a health check has an unknown start time. If its
      // id is that of the departure, it is taken to be the server that left.
      const startsEarlier = registration?.id === departure.id &&
        registration.startedAt < departure.startedAt;
      update(
        restoreDeparture(startsEarlier ? null : registration, departure, now),
      );
    },
    serve(request, onOutcome) {
      const refuse = (
        reason: Extract<CallOutcome, { kind: "not-run" }>["reason"],
        waitMs = 0,
      ) => {
        recordRefusal(request, reason, waitMs);
        onOutcome(
          { kind: "not-run", reason, waitMs, arrived: false },
          { load: gateLoad(gate), route: null },
        );
        return () => {};
      };
      recordCaller(graph, request.route, request.caller);
      if (registration === null) return refuse("no-server");
      if (registration.id !== request.serverId) return refuse("other-server");
      if (registration.leaving) return refuse("leaving");
      if (!opened || !isAlive(steadyTime())) return refuse("no-server");
      const runMs = graph.slotMs.get(request.route) ?? gate.meanRunMs;
      if (mayOutlast(steadyTime(), runMs, runsEndAt)) return refuse("leaving");
      let run: Run | null = null;
      const job: Job = {
        flow: request.route,
        weight: flowWeight(request.nested, request.rank),
        runMs,
        expiresAt: request.expiresAt,
        start() {
          if (registration?.id === request.serverId && !registration.leaving) {
            run = startRun(request, onOutcome);
            return;
          }
          // The server left while the request waited.
          gate.running--;
          refuse("leaving");
        },
        refuse,
      };
      offerJob(gate, job, steadyTime());
      return () => {
        if (run === null) withdrawJob(gate, job);
        else {
          run.cancelled = true;
          // A non-repeatable request runs at most once, so it is left to finish.
          if (request.repeatable) run.connection.close();
        }
      };
    },
    tick() {
      const now = steadyTime();
      if (available() !== wasAvailable) {
        wasAvailable = available();
        log("server-available", {
          server: registration?.id,
          available: wasAvailable,
        });
        onChange();
      }
      expireJobs(gate, now, runsEndAt);
      for (const run of runs) {
        if (now <= run.request.expiresAt + DEADLINE_MARGIN_MS) continue;
        run.overdue = true;
        run.connection.close();
      }
      pool.sweep(now);
    },
    setRunDeadline(deadline) {
      runsEndAt = deadline;
    },
    routeExpiringAt: (expiresAt) => routeExpiringAt(runs, expiresAt),
    occupancy: () => ({
      running: gate.running,
      waiting: gate.waiting,
      limit: gate.limit,
    }),
  };
}

/** Metric labels of a call to the server, by its outcome. */
const CALL_LABELS: {
  [Kind in CallOutcome["kind"]]: (
    outcome: Extract<CallOutcome, { kind: Kind }>,
    run: Run,
  ) => { outcome: string; reason: string; code: string };
} = {
  answered: ({ status }) => ({
    outcome: "answered",
    reason: "",
    code: `${Math.floor(status / 100)}xx`,
  }),
  "not-run": ({ reason }) => ({ outcome: "rejected", reason, code: "" }),
  // Closing the connection of an overdue or cancelled call makes it end with
  // `connection-lost`; the label gives the actual cause.
  unknown: ({ reason }, { cancelled, overdue }) => ({
    outcome: "unknown",
    reason: overdue ? "overdue" : cancelled ? "cancelled" : reason,
    code: "",
  }),
};

/** Whether the server was still slow after its start when last heard from. */
function isCold({ coldUntil, heardAt }: Registration): boolean {
  return coldUntil > heardAt;
}
