import { offer } from "../admission/offer.ts";
import { withdraw } from "../admission/withdraw.ts";
import { requestPriority } from "../context/request_priority.ts";
import { admitToken } from "../execution/admit_token.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { openAccount } from "../retries/open_account.ts";
import { findRule } from "../rules/find_rule.ts";
import type { Attempt } from "./attempt.ts";
import { callServer } from "./call_server.ts";
import { endInboundCall } from "./end_inbound_call.ts";
import type { Exchange } from "./exchange.ts";
import type { InboundCall } from "./inbound_call.ts";
import { inboundFeedback } from "./inbound_feedback.ts";
import { joinExecution } from "./join_execution.ts";
import type { Relay } from "./relay.ts";
import type { Reply } from "./reply.ts";

const endedExchange: Exchange = { cancel: () => {}, resume: () => {} };

/** Offers an attempt to the local backend server, or rejects it. */
export function handleInbound(
  relay: Relay,
  attempt: Attempt,
  reply: Reply,
): Exchange {
  const { token } = attempt.context;
  if (token === null) {
    const rejection = findRejection(relay, attempt) ??
      findMissingToken(relay, attempt);
    if (rejection !== null) return reject(relay, attempt, reply, rejection);
    return admit(relay, { attempt, nonce: null }, reply);
  }
  // A token is looked up first: its execution may be in progress while the
  // daemon is leaving, and a resend must still join it.
  const lookup = admitToken(relay.ledger, token, relay.clock());
  if (lookup.kind === "rejected") {
    return reject(relay, attempt, reply, lookup.outcome);
  }
  if (lookup.kind === "seen") {
    return joinExecution(relay, { attempt, nonce: lookup.nonce }, reply);
  }
  return admit(relay, { attempt, nonce: lookup.nonce }, reply);
}

function findRejection(relay: Relay, attempt: Attempt): Outcome | null {
  if (relay.isLeaving()) return { kind: "not-run", reason: "leaving" };
  if (relay.server?.state === "leaving") {
    return { kind: "not-run", reason: "leaving" };
  }
  if (relay.server?.service !== attempt.service || relay.admission === null) {
    return { kind: "not-run", reason: "no-server" };
  }
  if (relay.parents.has(attempt.context.attemptId)) {
    return { kind: "not-run", reason: "bad-request" };
  }
  return null;
}

function findMissingToken(relay: Relay, attempt: Attempt): Outcome | null {
  const path = attempt.path.slice(attempt.service.length + 1);
  const rule = findRule(relay.serviceRule(attempt.service), {
    method: attempt.method,
    path: path.split("?", 1)[0]!,
  });
  return rule.idempotent ? null : { kind: "not-run", reason: "token-required" };
}

function reject(
  relay: Relay,
  attempt: Attempt,
  reply: Reply,
  outcome: Outcome,
): Exchange {
  reply.fail(outcome, inboundFeedback(relay, attempt, null));
  return endedExchange;
}

function admit(
  relay: Relay,
  { attempt, nonce }: { attempt: Attempt; nonce: string | null },
  reply: Reply,
): Exchange {
  const call = createCall(relay, attempt, reply);
  call.nonce = nonce;
  const rejection = findRejection(relay, attempt);
  relay.parents.set(attempt.context.attemptId, call.parent);
  relay.open.add(call.open);
  if (rejection !== null) {
    fail(relay, call, rejection);
    return endedExchange;
  }
  const decision = offer(relay.admission!, call.ticket, relay.clock());
  relay.log("admission", {
    request: attempt.context.requestId,
    attempt: attempt.context.attemptId,
    decision: decision.kind,
    reason: decision.kind === "rejected" ? decision.reason : undefined,
    priority: call.ticket.priority,
    level: relay.admission!.level,
    inflight: relay.admission!.inFlight,
    queued: relay.admission!.queue.size,
    limit: relay.admission!.limit,
  });
  if (decision.kind === "run") callServer(relay, call);
  if (decision.kind === "rejected") {
    fail(relay, call, { kind: "not-run", reason: decision.reason });
  }
  return {
    cancel: () => cancel(relay, call),
    resume: () => call.exchange?.resume(),
  };
}

function createCall(relay: Relay, attempt: Attempt, reply: Reply): InboundCall {
  const { context } = attempt;
  const call: InboundCall = {
    attempt,
    reply,
    nonce: null,
    parent: {
      context,
      account: openAccount(context.retries),
      children: new Set(),
      waitingSince: 0,
      nestedMs: 0,
      downstreamOverload: false,
    },
    ticket: {
      id: context.attemptId,
      priority: requestPriority(context),
      department: context.department,
      deadlineAt: context.deadlineAt,
      start: () => callServer(relay, call),
      drop: (reason) => fail(relay, call, { kind: "not-run", reason }),
    },
    open: {
      deadlineAt: context.deadlineAt,
      expire: () => expire(relay, call),
    },
    phase: "waiting",
    startedAt: 0,
    exchange: null,
    status: null,
    recording: null,
  };
  return call;
}

function fail(relay: Relay, call: InboundCall, outcome: Outcome): void {
  const feedback = inboundFeedback(relay, call.attempt, call.parent);
  if (endInboundCall(relay, call, outcome)) call.reply?.fail(outcome, feedback);
}

function expire(relay: Relay, call: InboundCall): void {
  if (call.phase === "waiting") {
    if (relay.admission !== null) withdraw(relay.admission, call.ticket.id);
    return fail(relay, call, { kind: "not-run", reason: "deadline" });
  }
  // An execution under a token continues, so that a resend can join it.
  if (call.nonce !== null) {
    call.reply?.fail(
      { kind: "unknown", reason: "deadline" },
      inboundFeedback(relay, call.attempt, call.parent),
    );
    call.reply = null;
    return;
  }
  call.exchange?.cancel();
  fail(relay, call, { kind: "unknown", reason: "deadline" });
}

function cancel(relay: Relay, call: InboundCall): void {
  call.reply = null;
  if (call.phase === "running" && call.nonce !== null) {
    // The execution continues, no longer paused by the speed of the caller.
    return call.exchange?.resume();
  }
  if (call.phase === "waiting" && relay.admission !== null) {
    withdraw(relay.admission, call.ticket.id);
    return fail(relay, call, { kind: "not-run", reason: "cancelled" });
  }
  call.exchange?.cancel();
  fail(relay, call, { kind: "unknown", reason: "cancelled" });
}
