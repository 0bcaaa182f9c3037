import { createGate } from "../backend/create_gate.ts";
import { expireJobs } from "../backend/expire_jobs.ts";
import { finishJob } from "../backend/finish_job.ts";
import { flowWeight } from "../backend/flow_weight.ts";
import type { Job } from "../backend/job.ts";
import { gateLoad } from "../backend/gate_load.ts";
import { offerJob } from "../backend/offer_job.ts";
import { withdrawJob } from "../backend/withdraw_job.ts";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import type { CallRequest } from "../calls/call_request.ts";
import { updateMovingAverage } from "../core/update_moving_average.ts";
import type { Random } from "../core/random.ts";
import { costsOf } from "../costs/costs_of.ts";
import { createCallGraph } from "../costs/create_call_graph.ts";
import { decayCounts } from "../costs/decay_counts.ts";
import { isRoot } from "../costs/is_root.ts";
import { recordCaller } from "../costs/record_caller.ts";
import { recordRunEnd } from "../costs/record_run_end.ts";
import { recordRunStart } from "../costs/record_run_start.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { activateRoutes } from "../routes/activate_routes.ts";
import { createAdmission } from "./create_admission.ts";
import { createOrigin } from "./create_origin.ts";
import { createRetryBudget } from "./create_retry_budget.ts";
import { failureRate } from "./failure_rate.ts";
import type { Observation } from "./observation.ts";
import { recordResult } from "./record_result.ts";
import type { Origin } from "./origin.ts";
import type { Reply } from "./reply.ts";

const DATA_CENTRES = ["a", "b", "c"];
const HOST = "host";
const LINK_LATENCY_MS = 1;
const LOAD_REPORT_INTERVAL_MS = 200;
const TICK_INTERVAL_MS = 100;
// Until this time all outcomes carry a route report, then only a share of them.
const FIRST_REPORTS_MS = 3_000;
const ROUTE_REPORT_SHARE = 0.1;
const SERVER_ERROR = 500;

/** Requests of one route; a run works, then makes its `calls` sequentially. */
type SimulatedRoute = {
  name: string;
  service: string;
  rank: number;
  targetLatencyMs: number;
  deadlineMs: number;
  repeatable: boolean;
  workMs: number;
  calls: string[];
  /** Client requests per second. */
  perS: number;
};

type Daemon = {
  name: string;
  service: string;
  dataCentre: string;
  origin: Origin;
  load: () => number;
  runMs: () => number;
  /** Loads that the others last reported, and requests sent to them since. */
  loadReports: Map<string, { load: number; sent: number }>;
  serve(request: CallRequest, onOutcome: OnOutcome): () => void;
};

type OnOutcome = (outcome: CallOutcome, report: CallReport | null) => void;

/**
 * Simulates a fleet in virtual time: three servers of each service, each with a
 * daemon. Origins, gates, costs and budgets are the real code; servers, links
 * and clients are simulated. Returns the replies to clients and the arrivals at
 * servers.
 */
export function simulateFleet(
  { slots, routes, retries, rejects, forMs, random }: {
    /** Slots of each server, by service. */
    slots: Readonly<Record<string, number>>;
    routes: readonly SimulatedRoute[];
    retries: { ratio: number; slack: number };
    /** Whether a server rejects the request that arrives now. */
    rejects: (server: string, now: number) => boolean;
    forMs: number;
    random: Random;
  },
) {
  let now = 0;
  const timeline = new Map<number, (() => void)[]>();
  const after = (ms: number, run: () => void) => {
    const at = now + Math.max(0, Math.round(ms));
    const due = timeline.get(at);
    if (due === undefined) timeline.set(at, [run]);
    else due.push(run);
  };
  const every = (ms: number, run: () => void) =>
    after(random() * ms, function repeat() {
      run();
      after(ms, repeat);
    });
  const steadyTime = () => now;
  const exponential = (meanMs: number) => -meanMs * Math.log(1 - random());

  const replies: { route: string; at: number; reply: Reply }[] = [];
  const arrivals: { service: string; at: number; isRepeat: boolean }[] = [];
  const routeOf = new Map(routes.map((route) => [route.name, route]));
  const activeRoutes = activateRoutes(null, {
    version: 1,
    services: new Map(),
    limits: { headBytes: 1, bodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: routes.map((route) => ({
      ...route,
      host: HOST,
      prefix: `/${route.name}/`,
      parts: [{ service: route.service, weight: 1 }],
      timeoutMs: route.deadlineMs,
      maxAttempts: 3,
    })),
  }, random)!;
  const daemons: Daemon[] = [];
  const request = (route: string, deadlineMs: number, isRepeat: boolean) => ({
    id: "id",
    host: HOST,
    method: "GET",
    target: `/${route}/`,
    // Backend servers propagate that their run repeats an earlier one.
    fields: isRepeat ? ["again", "1"] : [],
    body: Buffer.alloc(0),
    deadlineMs,
  });

  const createDaemon = (service: string, dataCentre: string): Daemon => {
    const name = `${service}-${dataCentre}`;
    const graph = createCallGraph(service, 0);
    const admission = createAdmission(0);
    const budget = createRetryBudget(
      retries,
      DATA_CENTRES.length * Object.keys(slots).length,
    );
    const gate = createGate(slots[service]!);
    const loadReports: Daemon["loadReports"] = new Map();
    const observations = new Map<string, Observation>();
    const servers = (wanted: string) =>
      daemons.filter((daemon) => daemon.service === wanted);
    const reportedLoad = (daemon: Daemon) =>
      daemon.name === name
        ? { load: daemon.load(), sent: 0 }
        : loadReports.get(daemon.name) ?? { load: 0, sent: 0 };
    const report = (route: string): CallReport => {
      const root = now < FIRST_REPORTS_MS || random() < ROUTE_REPORT_SHARE
        ? isRoot(graph, route, Object.keys(slots).length)
        : undefined;
      return {
        load: gateLoad(gate),
        route: root === undefined
          ? null
          : { costs: costsOf(graph, route), root },
      };
    };

    function run(job: CallRequest, isRepeat: boolean, onOutcome: OnOutcome) {
      const startedAt = now;
      recordRunStart(graph, job.route, job.repeatedShare);
      arrivals.push({ service, at: now, isRepeat });
      if (rejects(name, now)) {
        after(1, () => {
          finishJob(gate, null, now);
          onOutcome(
            { kind: "not-run", reason: "server-rejected", arrived: true },
            { load: gateLoad(gate), route: null },
          );
        });
        return;
      }
      const end = (status: number) => {
        const ok = status < SERVER_ERROR;
        recordRunEnd(graph, job.route, now);
        if (ok) updateMovingAverage(graph.slotMs, job.route, now - startedAt);
        finishJob(gate, ok ? now - startedAt : null, now);
        onOutcome(
          { kind: "answered", status, fields: [], body: Buffer.alloc(0) },
          report(job.route),
        );
      };
      const { workMs, calls } = routeOf.get(job.route)!;
      const remainingCalls = [...calls];
      const makeNextCall = () => {
        const called = remainingCalls.shift();
        if (called === undefined) return end(200);
        const { deadlineMs } = routeOf.get(called)!;
        const waitsMs = Math.min(deadlineMs, job.expiresAt - now);
        if (waitsMs <= 0) return end(504);
        daemon.origin.start(request(called, waitsMs, isRepeat), (reply) => {
          const ok = reply.kind === "answer" && reply.status < SERVER_ERROR;
          after(1, ok ? makeNextCall : () => end(SERVER_ERROR));
        });
      };
      after(exponential(workMs), makeNextCall);
    }

    const daemon: Daemon = {
      name,
      service,
      dataCentre,
      loadReports,
      load: () => gateLoad(gate),
      runMs: () => gate.meanRunMs,
      serve(call, onOutcome) {
        recordCaller(graph, call.route, call.caller);
        const isRepeat = call.repeatedShare === 1 || call.fields.length > 0;
        const job: Job = {
          flow: call.route,
          weight: flowWeight(call.nested, call.rank),
          runMs: graph.slotMs.get(call.route) ?? gate.meanRunMs,
          expiresAt: call.expiresAt,
          start: () => run(call, isRepeat, onOutcome),
          refuse: (reason, waitMs) =>
            onOutcome(
              { kind: "not-run", reason, waitMs, arrived: false },
              { load: gateLoad(gate), route: null },
            ),
        };
        offerJob(gate, job, now);
        return () => void withdrawJob(gate, job);
      },
      origin: createOrigin({
        caller: service,
        dataCentre,
        routes: () => activeRoutes,
        routeExpiringAt: () => null,
        graph,
        admission,
        budget,
        random,
        steadyTime,
        log: () => {},
        metrics: createMetrics(),
        loads: () =>
          new Map(
            Object.keys(slots).map((wanted) => {
              const loads = servers(wanted).map((peer) =>
                reportedLoad(peer).load
              );
              return [wanted, loads.reduce((a, b) => a + b) / loads.length];
            }),
          ),
        forwarder: {
          candidates: (wanted) =>
            servers(wanted).map((peer) => ({
              address: peer.name,
              serverId: peer.name,
              dataCentre: peer.dataCentre,
              load: reportedLoad(peer).load +
                reportedLoad(peer).sent / slots[wanted]!,
              runMs: peer.runMs(),
              failureRate: failureRate(
                observations.get(peer.name),
                peer.name,
                now,
              ),
            })),
          send({ address }, call, onOutcome) {
            const to = daemons.find((peer) => peer.name === address)!;
            const hopMs = to === daemon ? 0 : LINK_LATENCY_MS;
            let cancelled = false;
            let cancel = () => {};
            const before = loadReports.get(address);
            if (before !== undefined) before.sent++;
            after(hopMs, () => {
              if (cancelled) return;
              cancel = to.serve(call, (outcome, report) =>
                after(hopMs, () => {
                  if (cancelled) return;
                  loadReports.set(address, { load: report!.load, sent: 0 });
                  const failed = outcome.kind === "answered"
                    ? outcome.status >= SERVER_ERROR
                    : outcome.kind === "unknown" || outcome.arrived;
                  observations.set(
                    address,
                    recordResult(
                      observations.get(address),
                      address,
                      failed,
                      now,
                    ),
                  );
                  onOutcome(outcome, report);
                }));
            });
            return () => {
              cancelled = true;
              cancel();
            };
          },
        },
      }),
    };
    every(TICK_INTERVAL_MS, () => {
      daemon.origin.tick();
      expireJobs(gate, now, Infinity);
      decayCounts(graph, now);
    });
    every(LOAD_REPORT_INTERVAL_MS, () => {
      for (const other of daemons) {
        if (other === daemon) continue;
        other.loadReports.set(name, { load: daemon.load(), sent: 0 });
      }
    });
    return daemon;
  };
  for (const service of Object.keys(slots)) {
    for (const dataCentre of DATA_CENTRES) {
      daemons.push(createDaemon(service, dataCentre));
    }
  }
  for (const { name, deadlineMs, perS } of routes) {
    if (perS === 0) continue;
    after(0, function arrive() {
      const at = now;
      const { origin } = daemons[Math.floor(random() * daemons.length)]!;
      origin.start(
        request(name, deadlineMs, false),
        (reply) => replies.push({ route: name, at, reply }),
      );
      after(exponential(1_000 / perS), arrive);
    });
  }
  for (; now < forMs; now++) {
    // Events that are due immediately are appended during the iteration.
    for (const run of timeline.get(now) ?? []) run();
    timeline.delete(now);
  }
  return { replies, arrivals };
}
