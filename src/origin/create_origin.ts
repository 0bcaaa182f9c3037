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
// Time reserved for the final answer to reach the client before its deadline.
const MAX_ANSWER_MARGIN_MS = 100;
const ANSWER_MARGIN_SHARE = 0.1;
// Number of refusals by servers after which the client is refused.
const MAX_REFUSALS = 3;
// Time after which clients should retry if a daemon has no routes or servers.
const NOT_READY_RETRY_MS = 500;
// A retry that has less than this share of the target latency left is wasted.
const MIN_RETRY_SHARE = 0.2;
// A 504 that comes this long before the call expires means that the server was
// given a shorter deadline, because its daemon is stopping.
const MIN_EARLY_MS = 250;
// Time until a stopping daemon is back or its clients use another one.
const RESTART_MS = 1_000;
// Requests update the admission this often, to limit a burst from its start.
const REFRESH_MS = 50;
// Share of the nested calls that are matched with running requests.
const SAMPLED_SHARE = 0.25;
// Requests that expire this much later than a call are unrelated to it; they
// show how many expire together with it by chance.
const CHANCE_OFFSET_MS = 25;
const SERVER_ERROR = 500;
const DEADLINE_EXCEEDED = 504;

/** Creates the entry point of requests; `routes` returns the active ones. */
export function createOrigin(
  {
    caller,
    dataCentre,
    routes,
    routeExpiringAt,
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
    /** Route of the local server's request that expires at a steady time. */
    routeExpiringAt: (expiresAt: number) => string | null;
    forwarder: Forwarder;
    graph: CallGraph;
    admission: Admission;
    budget: RetryBudget;
    /** Mean load of the servers of each service. */
    loads: () => ReadonlyMap<string, number>;
    random: Random;
    /** Monotonic clock, in ms; its readings are called steady times. */
    steadyTime: () => number;
    log: Logger;
    metrics: Metrics;
  },
): Origin {
  const openCalls = new Set<OpenCall>();
  const fullServices = new Set<string>();
  let refuseAt = Infinity;
  let runsEndAt = Infinity;
  // Mean time to an answer by route, in ms.
  const meanAnswerMs = new Map<string, number>();

  const reply = (call: OpenCall, answer: Reply) => {
    if (!openCalls.delete(call)) return;
    const ms = steadyTime() - call.startedAt;
    const from = call.root === false ? "server" : "client";
    count(metrics, "requests", { from, outcome: answer.kind });
    record(metrics, "request_ms", { from }, ms);
    if (answer.kind === "answer" && answer.status < SERVER_ERROR) {
      updateMovingAverage(meanAnswerMs, call.route.name, ms);
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

  /** `full` names the saturated service, if that is the reason. */
  const refuse = (
    call: OpenCall,
    reason: string,
    waitMs: number,
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
        waitMs,
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
      if (!openCalls.has(call)) return;
      applyReport(call, report);
      call.arrived ||= outcome.kind !== "not-run" || outcome.arrived;
      outcomeHandlers[outcome.kind](call, outcome as never);
    }, () => {
      // Without budget, waiting for an answer is better than a failure.
      if (!claimRetry(call, false)) return;
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
    // After a synchronous outcome, the next attempt has started already.
    if (!settled) call.cancel = cancel;
  };

  const applyReport = ({ route }: OpenCall, report: CallReport | null) => {
    const routeReport = report?.route ?? null;
    if (routeReport === null) return;
    const { costs, root } = routeReport;
    graph.roots.set(route.name, root);
    if (root) trackRoot(admission, route.name, route.rank, costs, steadyTime());
    else graph.calleeCosts.set(route.name, costs);
  };

  const fail = (call: OpenCall, reason: string, expired: boolean) => {
    countUnserved("failure", reason, call.service);
    reply(call, { kind: "failure", reason, expired });
  };

  /** Updates the admission with the newest loads. */
  const refreshAdmission = (now: number) => {
    updateAdmission(admission, loads(), now);
    logFullServices(log, admission, fullServices);
  };
  /** Counts a call of the local server; a sample is matched by deadline. */
  const recordNestedCall = (route: string, expiresAt: number) => {
    if (random() >= SAMPLED_SHARE) recordCall(graph, route, null);
    else {
      recordCall(graph, route, {
        matched: routeExpiringAt(expiresAt),
        byChance: routeExpiringAt(expiresAt + CHANCE_OFFSET_MS),
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
  /** Takes a retry from the budget if it is allowed and may help the client. */
  const claimRetry = (call: OpenCall, answered: boolean) => {
    const { route, service, attempts, expiresAt } = call;
    if (!route.repeatable || attempts >= route.maxAttempts) return false;
    const minMs = route.targetLatencyMs * MIN_RETRY_SHARE;
    const endsAt = Math.min(expiresAt, runsEndAt);
    if (endsAt - steadyTime() < minMs) return false;
    const costs = graph.calleeCosts.get(route.name) ??
      admission.roots.get(route.name)?.costs ?? [];
    if (makesNoCalls(costs, service)) return spend(call, "single");
    return spend(call, answered ? "answered" : "nested");
  };
  const retry = (call: OpenCall) => {
    call.refusedBy.add(call.target!.address);
    send(call);
  };

  const outcomeHandlers: {
    [Kind in CallOutcome["kind"]]: (
      call: OpenCall,
      outcome: Extract<CallOutcome, { kind: Kind }>,
    ) => void;
  } = {
    answered(call, { status, fields, body }) {
      const answer = { kind: "answer" as const, status, fields, body };
      const expired = status === DEADLINE_EXCEEDED;
      // Well before the call expires, another server still has time to run it.
      const early = expired &&
        Math.min(call.expiresAt, runsEndAt) - steadyTime() > MIN_EARLY_MS;
      const failed = status >= SERVER_ERROR && (!expired || early);
      if (failed && call.fallbackAnswer === null && claimRetry(call, !early)) {
        call.fallbackAnswer = answer;
        retry(call);
      } else reply(call, failed ? call.fallbackAnswer ?? answer : answer);
    },
    "not-run"(call, { reason, waitMs = 0, arrived }) {
      call.attempts--;
      call.refusedBy.add(call.target!.address);
      // A leaving server says nothing about the capacity of the others.
      const leaving = reason === "leaving";
      if (!leaving) call.refusals++;
      call.refusal = { reason, waitMs: leaving ? RESTART_MS : waitMs };
      const sendAgain = call.refusals < MAX_REFUSALS && reason !== "expired" &&
        (!arrived || spend(call, "single"));
      if (sendAgain) send(call);
      else if (call.fallbackAnswer !== null) reply(call, call.fallbackAnswer);
      else if (call.attempts > 0) fail(call, reason, reason === "expired");
      else refuse(call, reason, call.refusal.waitMs);
    },
    unknown(call, { reason }) {
      if (claimRetry(call, false)) retry(call);
      else if (call.fallbackAnswer !== null) reply(call, call.fallbackAnswer);
      else fail(call, reason, reason === "expired");
    },
  };

  return {
    start(request, onReply) {
      const now = steadyTime();
      const activeRoutes = routes();
      if (activeRoutes === null) {
        log("request-refused", { id: request.id, reason: "no-configuration" });
        countUnserved("refusal", "no-configuration");
        onReply({
          kind: "refusal",
          reason: "no-configuration",
          retryAfterMs: NOT_READY_RETRY_MS,
        });
        return noop;
      }
      const route = findRoute(activeRoutes.index, request.host, request.target);
      if (route === undefined) {
        const { version } = activeRoutes.table;
        log("request-unrouted", {
          id: request.id,
          host: request.host,
          version,
        });
        countUnserved("no-route");
        onReply({ kind: "no-route" });
        return noop;
      }
      const clientTimeoutMs = request.deadlineMs ?? UNBOUNDED_MS;
      const service = chooseService(activeRoutes.splits.get(route)!);
      const root = graph.roots.get(route.name);
      const inheritedShare = root === true
        ? 0
        : repeatedShare(graph, route.name);
      const call: OpenCall = {
        request,
        route,
        service,
        root,
        startedAt: now,
        expiresAt: now +
          Math.min(
            clientTimeoutMs - answerMargin(clientTimeoutMs),
            route.timeoutMs,
          ),
        clientDeadlineAt: now + clientTimeoutMs,
        attempts: 0,
        inheritedShare,
        arrived: false,
        refusedBy: new Set(),
        refusals: 0,
        refusal: null,
        target: null,
        fallbackAnswer: null,
        cancel: noop,
        onReply,
      };
      openCalls.add(call);
      const stopping = now >= refuseAt ||
        mayOutlast(now, meanAnswerMs.get(route.name) ?? 0, runsEndAt);
      if (stopping && root !== false) {
        refuse(call, "leaving", RESTART_MS);
        return noop;
      }
      creditRetry(budget, {
        service,
        route: route.name,
        inheritedShare,
      });
      if (call.root === false) {
        recordNestedCall(route.name, now + clientTimeoutMs);
      } else if (call.root === true) {
        trackRoot(admission, route.name, route.rank, null, now);
        if (now - admission.updatedAt >= REFRESH_MS) refreshAdmission(now);
        const decision = admit(admission, route.name, random);
        if (!decision.admitted) {
          refuse(call, "overload", 0, decision.service);
          return noop;
        }
      }
      send(call);
      return () => {
        if (!openCalls.delete(call)) return;
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
      for (const call of openCalls) {
        if (now < call.expiresAt) continue;
        call.cancel();
        if (call.fallbackAnswer !== null) reply(call, call.fallbackAnswer);
        else fail(call, "expired", true);
      }
      refreshAdmission(now);
    },
    limit(plan) {
      ({ refuseAt, runsEndAt } = plan);
    },
    failOpenRequests() {
      for (const call of openCalls) {
        call.cancel();
        if (call.fallbackAnswer !== null) reply(call, call.fallbackAnswer);
        else fail(call, "stopping", false);
      }
    },
    open: () => openWorkOf(openCalls, steadyTime()),
  };
}

/** Time reserved for the final answer to reach its client, in ms. */
function answerMargin(clientTimeoutMs: number): number {
  return Math.min(MAX_ANSWER_MARGIN_MS, clientTimeoutMs * ANSWER_MARGIN_SHARE);
}

function noop(): void {}
