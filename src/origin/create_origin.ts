import type { CallOutcome } from "../calls/call_outcome.ts";
import type { CallReport } from "../calls/call_report.ts";
import { mayOutlast } from "../calls/may_outlast.ts";
import type { Logger } from "../core/logger.ts";
import { updateMovingAverage } from "../core/update_moving_average.ts";
import type { Random } from "../core/random.ts";
import type { CallGraph } from "../costs/call_graph.ts";
import { recordCall } from "../costs/record_call.ts";
import { recordReply } from "../costs/record_reply.ts";
import { repeatedShare } from "../costs/repeated_share.ts";
import { count } from "../metrics/count.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { record } from "../metrics/record.ts";
import { chooseService } from "../routes/choose_service.ts";
import { findRoute } from "../routes/find_route.ts";
import type { ActiveRoutes } from "../routes/active_routes.ts";
import { admit } from "./admit.ts";
import type { Admission } from "./admission.ts";
import { chooseCandidate } from "./choose_candidate.ts";
import { creditRetry } from "./credit_retry.ts";
import type { Forwarder } from "./forwarder.ts";
import { logFullServices } from "./log_full_services.ts";
import { logReply } from "./log_reply.ts";
import { makesNoCalls } from "./makes_no_calls.ts";
import { trackRoot } from "./track_root.ts";
import type { OpenCall } from "./open_call.ts";
import { openWorkOf } from "./open_work_of.ts";
import type { Origin } from "./origin.ts";
import type { Reply } from "./reply.ts";
import { retryAfter } from "./retry_after.ts";
import type { RetryBudget } from "./retry_budget.ts";
import { estimateRunMs } from "./estimate_run_ms.ts";
import { spendRetry } from "./spend_retry.ts";
import { updateAdmission } from "./update_admission.ts";

// Where the client states no deadline, the route's timeout is the only bound.
const UNBOUNDED_MS = 3_600_000;
// A final answer must reach the client before it gives up.
const MOST_ANSWER_MARGIN_MS = 100;
const ANSWER_MARGIN_SHARE = 0.1;
// Servers that turn a request away in a row before it is refused.
const MOST_REFUSALS = 3;
// Time after which a daemon without routes or servers asks clients to return.
const NOT_READY_RETRY_MS = 500;
// A retry that has less than this share of the target latency left is wasted.
const LEAST_RETRY_SHARE = 0.2;
// A server that answers 504 this long before the call expires was given less
// time, since its daemon stops.
const EARLY_MS = 250;
// Time after which a daemon that stops is back or its clients are elsewhere.
const RESTART_MS = 1_000;
// The front of a burst is cut this often.
const UPDATE_MS = 50;
// Share of the nested calls that are matched with the running requests.
const MATCHED_SHARE = 0.25;
// Requests that expire this much later than a call have nothing to do with it;
// they tell how many expire together with it by chance.
const CHANCE_OFFSET_MS = 25;
const SERVER_ERROR = 500;
const DEADLINE_EXCEEDED = 504;

/** Creates the origin of requests; `routes` returns those in force. */
export function createOrigin(
  {
    caller,
    dataCentre,
    routes,
    routeExpiringAt: callerOf,
    forwarder,
    graph,
    admission,
    budget,
    loads,
    random,
    steadyTime,
    log,
    metrics,
  }: {
    /** Service that runs on this VM. */
    caller: string;
    dataCentre: string;
    routes: () => ActiveRoutes | null;
    /** Route of the own server's request that expires at a steady time. */
    routeExpiringAt: (expiresAt: number) => string | null;
    forwarder: Forwarder;
    graph: CallGraph;
    admission: Admission;
    budget: RetryBudget;
    /** Mean load of the servers of each service. */
    loads: () => ReadonlyMap<string, number>;
    random: Random;
    steadyTime: () => number;
    log: Logger;
    metrics: Metrics;
  },
): Origin {
  const open = new Set<OpenCall>();
  const fullServices = new Set<string>();
  let refuseAt = Infinity;
  let runsEndAt = Infinity;
  // Mean time to an answer by route, in ms.
  const answerMs = new Map<string, number>();

  const reply = (call: OpenCall, answer: Reply) => {
    if (!open.delete(call)) return;
    const ms = steadyTime() - call.startedAt;
    const from = call.root === false ? "server" : "client";
    count(metrics, "requests", { from, outcome: answer.kind });
    record(metrics, "request_ms", { from }, ms);
    if (answer.kind === "answer" && answer.status < SERVER_ERROR) {
      updateMovingAverage(answerMs, call.route.name, ms);
    }
    logReply(log, call, answer, { ms, version: routes()?.table.version });
    call.onReply(answer);
    if (call.root === false) {
      recordReply(graph, call.route.name, steadyTime());
    }
  };

  const countUnserved = (
    outcome: "refusal" | "failure" | "cancelled" | "no-route",
    reason = "",
    service = "",
  ) => count(metrics, "requests_unserved", { outcome, reason, service });

  /** `full` names a service without room, if that is the reason. */
  const refuse = (
    call: OpenCall,
    reason: string,
    roomMs: number,
    full?: string,
  ) => {
    const now = steadyTime();
    countUnserved("refusal", reason, full ?? call.service);
    reply(call, {
      kind: "refusal",
      reason: full === undefined ? reason : `${reason} of ${full}`,
      retryAfterMs: retryAfter({
        targetLatencyMs: call.route.targetLatencyMs,
        runMs: estimateRunMs(admission, call.route.name),
        remainingMs: Math.max(0, call.clientDeadlineAt - now),
        waitMs: roomMs,
      }, random),
    });
  };

  const send = (call: OpenCall) => {
    const { request, route, service, refusedBy } = call;
    const candidates = forwarder.candidates(service)
      .filter(({ address }) => !refusedBy.has(address));
    const target = chooseCandidate(
      candidates,
      dataCentre,
      route.targetLatencyMs,
      random,
    );
    if (target === null) {
      if (call.fallbackAnswer !== null) reply(call, call.fallbackAnswer);
      else if (call.attempts > 0) fail(call, "no-other-server", false);
      else if (call.refusal === null) {
        refuse(call, "no-server", NOT_READY_RETRY_MS);
      } else refuse(call, call.refusal.reason, call.refusal.waitMs);
      return;
    }
    call.target = target;
    call.attempts++;
    let settled = false;
    const cancel = forwarder.send(target, {
      id: request.id,
      method: request.method,
      target: request.target,
      fields: request.fields,
      body: request.body,
      route: route.name,
      serverId: target.serverId,
      caller,
      nested: call.root !== true,
      rank: route.rank,
      repeatable: route.repeatable,
      repeatedShare: call.arrived ? 1 : call.inheritedShare,
      expiresAt: Math.min(call.expiresAt, runsEndAt),
    }, (outcome, report) => {
      settled = true;
      if (!open.has(call)) return;
      learn(call, report);
      call.arrived ||= outcome.kind !== "not-run" || outcome.arrived;
      settle[outcome.kind](call, outcome as never);
    }, () => {
      // Without budget it is better to wait for an answer than to give up.
      if (!mayRetry(call, false)) return;
      log("request-moved", {
        id: request.id,
        route: route.name,
        server: target.serverId,
        ms: Math.round(steadyTime() - call.startedAt),
      });
      call.arrived = true;
      call.cancel();
      retry(call);
    });
    // An outcome that came at once has led to the next attempt already.
    if (!settled) call.cancel = cancel;
  };

  const learn = ({ route }: OpenCall, report: CallReport | null) => {
    const learned = report?.route ?? null;
    if (learned === null) return;
    const { costs, root } = learned;
    graph.roots.set(route.name, root);
    if (root) trackRoot(admission, route.name, route.rank, costs, steadyTime());
    else graph.calleeCosts.set(route.name, costs);
  };

  const fail = (call: OpenCall, reason: string, expired: boolean) => {
    countUnserved("failure", reason, call.service);
    reply(call, { kind: "failure", reason, expired });
  };

  /** Takes the newest loads into the admission. */
  const refresh = (now: number) => {
    updateAdmission(admission, loads(), now);
    logFullServices(log, admission, fullServices);
  };
  /** Counts a call of the own server; some tell with which run it expires. */
  const noteNested = (route: string, expiresAt: number) => {
    if (random() >= MATCHED_SHARE) recordCall(graph, route, null);
    else {
      recordCall(graph, route, {
        matched: callerOf(expiresAt),
        byChance: callerOf(expiresAt + CHANCE_OFFSET_MS),
      });
    }
  };
  const spend = (
    call: OpenCall,
    kind: Parameters<typeof spendRetry>[1],
  ) => {
    const { service, route } = call;
    const key = kind === "single" ? service : route.name;
    const spent = spendRetry(budget, kind, key);
    count(metrics, spent ? "retries" : "retries_denied", { service, kind });
    return spent;
  };
  /** Whether sending the request once more can still help its client. */
  const mayRetry = (call: OpenCall, answered: boolean) => {
    const { route, service, attempts, expiresAt } = call;
    if (!route.repeatable || attempts >= route.maxAttempts) return false;
    const least = route.targetLatencyMs * LEAST_RETRY_SHARE;
    const endsAt = Math.min(expiresAt, runsEndAt);
    if (endsAt - steadyTime() < least) return false;
    const costs = graph.calleeCosts.get(route.name) ??
      admission.roots.get(route.name)?.costs ?? [];
    if (makesNoCalls(costs, service)) return spend(call, "single");
    return spend(call, answered ? "answered" : "nested");
  };
  const retry = (call: OpenCall) => {
    call.refusedBy.add(call.target!.address);
    send(call);
  };

  const settle: {
    [Kind in CallOutcome["kind"]]: (
      call: OpenCall,
      outcome: Extract<CallOutcome, { kind: Kind }>,
    ) => void;
  } = {
    answered(call, { status, fields, body }) {
      const answer = { kind: "answer" as const, status, fields, body };
      const expired = status === DEADLINE_EXCEEDED;
      // Before the call's own end, another server still has time for it.
      const early = expired &&
        Math.min(call.expiresAt, runsEndAt) - steadyTime() > EARLY_MS;
      const failed = status >= SERVER_ERROR && (!expired || early);
      if (failed && call.fallbackAnswer === null && mayRetry(call, !early)) {
        call.fallbackAnswer = answer;
        retry(call);
      } else reply(call, failed ? call.fallbackAnswer ?? answer : answer);
    },
    "not-run"(call, { reason, waitMs = 0, arrived }) {
      call.attempts--;
      call.refusedBy.add(call.target!.address);
      // A server that leaves says nothing about the room at the others.
      const leaving = reason === "leaving";
      if (!leaving) call.refusals++;
      call.refusal = { reason, waitMs: leaving ? RESTART_MS : waitMs };
      const again = call.refusals < MOST_REFUSALS && reason !== "expired" &&
        (!arrived || spend(call, "single"));
      if (again) send(call);
      else if (call.fallbackAnswer !== null) reply(call, call.fallbackAnswer);
      else if (call.attempts > 0) fail(call, reason, reason === "expired");
      else refuse(call, reason, call.refusal.waitMs);
    },
    unknown(call, { reason }) {
      if (mayRetry(call, false)) retry(call);
      else if (call.fallbackAnswer !== null) reply(call, call.fallbackAnswer);
      else fail(call, reason, reason === "expired");
    },
  };

  return {
    start(request, onReply) {
      const now = steadyTime();
      const current = routes();
      if (current === null) {
        log("request-refused", { id: request.id, reason: "no-configuration" });
        countUnserved("refusal", "no-configuration");
        onReply({
          kind: "refusal",
          reason: "no-configuration",
          retryAfterMs: NOT_READY_RETRY_MS,
        });
        return ignore;
      }
      const route = findRoute(current.index, request.host, request.target);
      if (route === undefined) {
        const { version } = current.table;
        log("request-unrouted", {
          id: request.id,
          host: request.host,
          version,
        });
        countUnserved("no-route");
        onReply({ kind: "no-route" });
        return ignore;
      }
      const waitsMs = request.deadlineMs ?? UNBOUNDED_MS;
      const service = chooseService(current.splits.get(route)!);
      const root = graph.roots.get(route.name);
      const inherited = root === true ? 0 : repeatedShare(graph, route.name);
      const call: OpenCall = {
        request,
        route,
        service,
        root,
        startedAt: now,
        expiresAt: now +
          Math.min(waitsMs - answerMargin(waitsMs), route.timeoutMs),
        clientDeadlineAt: now + waitsMs,
        attempts: 0,
        inheritedShare: inherited,
        arrived: false,
        refusedBy: new Set(),
        refusals: 0,
        refusal: null,
        target: null,
        fallbackAnswer: null,
        cancel: ignore,
        onReply,
      };
      open.add(call);
      const turnedAway = now >= refuseAt ||
        mayOutlast(now, answerMs.get(route.name) ?? 0, runsEndAt);
      if (turnedAway && root !== false) {
        refuse(call, "leaving", RESTART_MS);
        return ignore;
      }
      creditRetry(budget, {
        service,
        route: route.name,
        inheritedShare: inherited,
      });
      if (call.root === false) {
        noteNested(route.name, now + waitsMs);
      } else if (call.root === true) {
        trackRoot(admission, route.name, route.rank, null, now);
        if (now - admission.updatedAt >= UPDATE_MS) refresh(now);
        const decision = admit(admission, route.name, random);
        if (!decision.admitted) {
          refuse(call, "overload", 0, decision.service);
          return ignore;
        }
      }
      send(call);
      return () => {
        if (!open.delete(call)) return;
        call.cancel();
        countUnserved("cancelled", "", service);
        log("request-cancelled", {
          id: request.id,
          route: route.name,
          ms: Math.round(steadyTime() - now),
        });
      };
    },
    tick() {
      const now = steadyTime();
      for (const call of open) {
        if (now < call.expiresAt) continue;
        call.cancel();
        if (call.fallbackAnswer !== null) reply(call, call.fallbackAnswer);
        else fail(call, "expired", true);
      }
      refresh(now);
    },
    limit(plan) {
      ({ refuseAt, runsEndAt } = plan);
    },
    failOpenRequests() {
      for (const call of open) {
        call.cancel();
        if (call.fallbackAnswer !== null) reply(call, call.fallbackAnswer);
        else fail(call, "stopping", false);
      }
    },
    open: () => openWorkOf(open, steadyTime()),
  };
}

/** Time kept for the final answer to reach its client, in ms. */
function answerMargin(waitsMs: number): number {
  return Math.min(MOST_ANSWER_MARGIN_MS, waitsMs * ANSWER_MARGIN_SHARE);
}

function ignore(): void {}
