import type { Outcome } from "../outcomes/outcome.ts";
import { combineOutcomes } from "../outcomes/combine_outcomes.ts";
import { dropTokens } from "../execution/drop_tokens.ts";
import { allocate } from "../retries/allocate.ts";
import { reclaim } from "../retries/reclaim.ts";
import { spend } from "../retries/spend.ts";
import { begin } from "../routing/begin.ts";
import type { Attempt } from "./attempt.ts";
import { endForwarding } from "./end_forwarding.ts";
import type { Feedback } from "./feedback.ts";
import { failForwarding } from "./fail_forwarding.ts";
import type { Forwarding } from "./forwarding.ts";
import { handleInbound } from "./handle_inbound.ts";
import { recordAttemptResult } from "./record_attempt_result.ts";
import { noFeedback } from "./no_feedback.ts";
import type { Relay } from "./relay.ts";
import { sendRemote } from "./send_remote.ts";
import type { Reply } from "./reply.ts";
import { trySpendRetry } from "./try_spend_retry.ts";
import type { Target } from "./target.ts";
import { tokensWanted } from "./tokens_wanted.ts";

/** Sends one attempt and decides, by how it ends, whether another follows. */
export function sendAttempt(
  relay: Relay,
  forwarding: Forwarding,
  target: Target,
): void {
  const { call } = forwarding;
  const { address } = target;
  forwarding.attempts += 1;
  const attemptNumber = forwarding.attempts;
  const allocated = allocate(call.account);
  const attempt = createAttempt(relay, forwarding, target, allocated);
  begin(relay.routing, address, relay.clock());
  const settle = (outcome: Outcome, feedback: Feedback) => {
    forwarding.settleAttempt = null;
    // Nothing was sent, so none of the allocated retries can have been spent.
    const unsent = outcome.kind === "not-run" &&
      outcome.reason === "connect-failed";
    const unspent = unsent ? allocated : feedback.unspent;
    reclaim(call.account, { allocated, unspent });
    recordAttemptResult(relay, call, { address, outcome, feedback });
  };
  forwarding.settleAttempt = (outcome) => settle(outcome, noFeedback);
  const reply = attemptReply(relay, forwarding, { target, settle });
  const exchange = address === relay.address
    ? handleInbound(relay, attempt, reply)
    : sendRemote(relay, { attempt, address }, reply);
  // A synchronous rejection may already have started the next attempt.
  if (forwarding.attempts === attemptNumber) forwarding.exchange = exchange;
}

function createAttempt(
  relay: Relay,
  { call, attempts }: Forwarding,
  { address, token }: Target,
  allocated: number,
): Attempt {
  return {
    context: {
      ...call.context,
      attemptId: `${call.context.attemptId}.${attempts}`,
      retries: allocated,
      token,
    },
    service: call.service,
    method: call.method,
    path: call.path,
    headers: call.headers,
    body: call.body,
    tokensWanted: call.rule.idempotent ? 0 : tokensWanted(relay, address),
  };
}

/**
 * Handles the result of one attempt; calls `settle` once its outcome is known.
 */
function attemptReply(
  relay: Relay,
  forwarding: Forwarding,
  { target, settle }: {
    target: Target;
    settle: (outcome: Outcome, feedback: Feedback) => void;
  },
): Reply {
  const { reply } = forwarding;
  let answered: Outcome | null = null;
  let discarding = false;
  const retry = (outcome: Outcome) => {
    forwarding.known = combineOutcomes(forwarding.known, outcome);
    forwarding.refusedToken = target.token;
    forwarding.triedDaemons.add(target.address);
    forwarding.startNextAttempt();
  };
  return {
    start(head) {
      answered = { kind: "answered", status: head.status };
      settle(answered, head.feedback);
      const result = { outcome: answered, feedback: head.feedback };
      discarding = trySpendRetry(relay, forwarding, result);
      if (!discarding) reply.start(head);
    },
    data: (chunk) => discarding || reply.data(chunk),
    end() {
      if (discarding) return retry(answered!);
      if (endForwarding(relay, forwarding, answered!)) reply.end();
    },
    fail(reported, feedback) {
      if (discarding) return retry(reported);
      if (answered !== null) {
        return failForwarding(relay, forwarding, reported);
      }
      settle(reported, feedback);
      const outcome = correctedOutcome(reported, target);
      if (reasonOf(reported) === "old-incarnation") {
        dropTokens(relay.tokenCache, target.address);
      }
      if (feedback.downstreamOverload) forwarding.call.onDownstreamOverload();
      if (trySpendResend(relay, forwarding, { outcome, target })) {
        forwarding.known = combineOutcomes(forwarding.known, outcome);
        return sendAttempt(relay, forwarding, {
          ...target,
          isFirstSend: false,
        });
      }
      if (trySpendRetry(relay, forwarding, { outcome, feedback })) {
        return retry(outcome);
      }
      failForwarding(relay, forwarding, outcome);
    },
  };
}

/**
 * Corrects the outcome reported for an attempt with a token. A resend that
 * could not connect is `unknown`, since only the daemon that issued the token
 * knows whether an earlier send ran. If a token was issued by an earlier process
 * at the same address and this was its first send, the request has not run.
 */
function correctedOutcome(
  outcome: Outcome,
  { token, isFirstSend }: Target,
): Outcome {
  if (token === null) return outcome;
  if (isFirstSend && reasonOf(outcome) === "old-incarnation") {
    return { kind: "not-run", reason: "token-revoked" };
  }
  if (!isFirstSend && reasonOf(outcome) === "connect-failed") {
    return { kind: "unknown", reason: "connection-lost" };
  }
  return outcome;
}

function reasonOf(outcome: Outcome): string {
  return outcome.kind === "answered" ? "" : outcome.reason;
}

/**
 * Spends a retry to send the same token again after its connection was lost,
 * and returns whether one was left. The daemon then joins the execution in
 * progress or repeats its response.
 */
function trySpendResend(
  relay: Relay,
  { call, ended }: Forwarding,
  { outcome, target }: { outcome: Outcome; target: Target },
): boolean {
  if (ended || target.token === null || outcome.kind !== "unknown") {
    return false;
  }
  if (outcome.reason !== "connection-lost") return false;
  return relay.clock() < call.context.deadlineAt && spend(call.account);
}
