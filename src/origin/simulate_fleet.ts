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
const LINK_MS = 1;
const REPORT_MS = 200;
const TICK_MS = 100;
const EARLY_MS = 3_000;
const REPORT_SHARE = 0.1;
const SERVER_ERROR = 500;

/** Requests of one route; `calls` are made one after the other at the end. */
type EmulatedRoute = {
  name: string;
  service: string;
  rank: number;
  targetLatencyMs: number;
  deadlineMs: number;
  repeatable: boolean;
  workMs: number;
  calls: string[];
  /** Requests of clients a second. */
  perS: number;
};

type Daemon = {
  name: string;
  service: string;
  dataCentre: string;
  origin: Origin;
  load: () => number;
  runMs: () => number;
  /** Loads of the others as last told. */
  told: Map<string, { load: number; sent: number }>;
  serve(request: CallRequest, onOutcome: OnOutcome): () => void;
};

type OnOutcome = (outcome: CallOutcome, report: CallReport | null) => void;

/**
 * Plays a fleet in virtual time: three servers of each service with a daemon
 * each. Origins, gates, costs and budgets are real; servers, links and clients
 * are emulated. Returns the replies to clients and what arrived at servers.
 */
export function simulateFleet(
  { slots, routes, retries, rejects, forMs, random }: {
    /** Slots of each server, by service. */
    slots: Readonly<Record<string, number>>;
    routes: readonly EmulatedRoute[];
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
  const arrivals: { service: string; at: number; again: boolean }[] = [];
  const routeOf = new Map(routes.map((route) => [route.name, route]));
  const inForce = activateRoutes(null, {
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
  const all: Daemon[] = [];
  const request = (route: string, deadlineMs: number, again: boolean) => ({
    id: "id",
    host: HOST,
    method: "GET",
    target: `/${route}/`,
    // Servers pass on that their run repeats an earlier one.
    fields: again ? ["again", "1"] : [],
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
    const told: Daemon["told"] = new Map();
    const observations = new Map<string, Observation>();
    const servers = (wanted: string) =>
      all.filter((daemon) => daemon.service === wanted);
    const known = (daemon: Daemon) =>
      daemon.name === name
        ? { load: daemon.load(), sent: 0 }
        : told.get(daemon.name) ?? { load: 0, sent: 0 };
    const report = (route: string): CallReport => {
      const root = now < EARLY_MS || random() < REPORT_SHARE
        ? isRoot(graph, route, Object.keys(slots).length)
        : undefined;
      return {
        load: gateLoad(gate),
        route: root === undefined
          ? null
          : { costs: costsOf(graph, route), root },
      };
    };

    function run(job: CallRequest, again: boolean, onOutcome: OnOutcome) {
      const startedAt = now;
      recordRunStart(graph, job.route, job.repeatedShare);
      arrivals.push({ service, at: now, again });
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
        const good = status < SERVER_ERROR;
        recordRunEnd(graph, job.route, now);
        if (good) updateMovingAverage(graph.slotMs, job.route, now - startedAt);
        finishJob(gate, good ? now - startedAt : null, now);
        onOutcome(
          { kind: "answered", status, fields: [], body: Buffer.alloc(0) },
          report(job.route),
        );
      };
      const { workMs, calls } = routeOf.get(job.route)!;
      const left = [...calls];
      const next = () => {
        const called = left.shift();
        if (called === undefined) return end(200);
        const { deadlineMs } = routeOf.get(called)!;
        const waitsMs = Math.min(deadlineMs, job.expiresAt - now);
        if (waitsMs <= 0) return end(504);
        daemon.origin.start(request(called, waitsMs, again), (reply) => {
          const good = reply.kind === "answer" && reply.status < SERVER_ERROR;
          after(1, good ? next : () => end(SERVER_ERROR));
        });
      };
      after(exponential(workMs), next);
    }

    const daemon: Daemon = {
      name,
      service,
      dataCentre,
      told,
      load: () => gateLoad(gate),
      runMs: () => gate.meanRunMs,
      serve(call, onOutcome) {
        recordCaller(graph, call.route, call.caller);
        const again = call.repeatedShare === 1 || call.fields.length > 0;
        const job: Job = {
          flow: call.route,
          weight: flowWeight(call.nested, call.rank),
          runMs: graph.slotMs.get(call.route) ?? gate.meanRunMs,
          expiresAt: call.expiresAt,
          start: () => run(call, again, onOutcome),
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
        routes: () => inForce,
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
              const loads = servers(wanted).map((one) => known(one).load);
              return [wanted, loads.reduce((a, b) => a + b) / loads.length];
            }),
          ),
        forwarder: {
          candidates: (wanted) =>
            servers(wanted).map((one) => ({
              address: one.name,
              serverId: one.name,
              dataCentre: one.dataCentre,
              load: known(one).load + known(one).sent / slots[wanted]!,
              runMs: one.runMs(),
              failureRate: failureRate(
                observations.get(one.name),
                one.name,
                now,
              ),
            })),
          send({ address }, call, onOutcome) {
            const to = all.find((one) => one.name === address)!;
            const hopMs = to === daemon ? 0 : LINK_MS;
            let cancelled = false;
            let cancel = () => {};
            const before = told.get(address);
            if (before !== undefined) before.sent++;
            after(hopMs, () => {
              if (cancelled) return;
              cancel = to.serve(call, (outcome, report) =>
                after(hopMs, () => {
                  if (cancelled) return;
                  told.set(address, { load: report!.load, sent: 0 });
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
    every(TICK_MS, () => {
      daemon.origin.tick();
      expireJobs(gate, now, Infinity);
      decayCounts(graph, now);
    });
    every(REPORT_MS, () => {
      for (const other of all) {
        if (other === daemon) continue;
        other.told.set(name, { load: daemon.load(), sent: 0 });
      }
    });
    return daemon;
  };
  for (const service of Object.keys(slots)) {
    for (const dataCentre of DATA_CENTRES) {
      all.push(createDaemon(service, dataCentre));
    }
  }
  for (const { name, deadlineMs, perS } of routes) {
    if (perS === 0) continue;
    after(0, function arrive() {
      const at = now;
      const { origin } = all[Math.floor(random() * all.length)]!;
      origin.start(
        request(name, deadlineMs, false),
        (reply) => replies.push({ route: name, at, reply }),
      );
      after(exponential(1_000 / perS), arrive);
    });
  }
  for (; now < forMs; now++) {
    // Events due at once are added while the list is walked.
    for (const run of timeline.get(now) ?? []) run();
    timeline.delete(now);
  }
  return { replies, arrivals };
}
