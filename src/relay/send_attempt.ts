import type { Outcome } from "../outcomes/outcome.ts";
import { combine } from "../outcomes/combine.ts";
import { allocate } from "../retries/allocate.ts";
import { reclaim } from "../retries/reclaim.ts";
import { spend } from "../retries/spend.ts";
import { begin } from "../routing/begin.ts";
import { end } from "../routing/end.ts";
import { learn } from "../shedding/learn.ts";
import type { Attempt } from "./attempt.ts";
import type { Feedback } from "./feedback.ts";
import { finishForwarding } from "./finish_forwarding.ts";
import type { Forwarding } from "./forwarding.ts";
import { handleInbound } from "./inbound.ts";
import { isRetryable } from "./is_retryable.ts";
import type { Relay } from "./relay.ts";
import { sendRemote } from "./remote.ts";
import type { Reply } from "./reply.ts";
import { stockTokens } from "./stock_tokens.ts";
import { tokensWanted } from "./tokens_wanted.ts";

/** Where an attempt goes. */
type Target = { address: string; token: string | null };

/** Sends one attempt and decides, by how it ends, whether another follows. */
export function sendAttempt(
  relay: Relay,
  forwarding: Forwarding,
  target: Target,
): void {
  const { call } = forwarding;
  const { address } = target;
  forwarding.attempts += 1;
  const allocated = allocate(call.account);
  const attempt = createAttempt(relay, forwarding, target, allocated);
  begin(relay.routing, address, relay.clock());
  const settle = (outcome: Outcome, feedback: Feedback) => {
    reclaim(call.account, { allocated, unspent: feedback.unspent });
    learnFrom(relay, call.service, { address, outcome, feedback });
  };
  const reply = attemptReply(relay, forwarding, { address, settle });
  forwarding.exchange = address === relay.address
    ? handleInbound(relay, attempt, reply)
    : sendRemote(relay, { attempt, address }, reply);
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

function learnFrom(
  relay: Relay,
  service: string,
  { address, outcome, feedback }: {
    address: string;
    outcome: Outcome;
    feedback: Feedback;
  },
): void {
  const now = relay.clock();
  end(relay.routing, { address, outcome, load: feedback.load }, now);
  stockTokens(relay, address, feedback.tokens);
  const { level } = feedback;
  if (level !== null) {
    learn(relay.shedding, { service, daemon: address, level }, now);
  }
}

function attemptReply(
  relay: Relay,
  forwarding: Forwarding,
  { address, settle }: {
    address: string;
    settle: (outcome: Outcome, feedback: Feedback) => void;
  },
): Reply {
  const { reply } = forwarding;
  let started = false;
  let discarding = false;
  const retry = (outcome: Outcome) => {
    forwarding.known = combine(forwarding.known, outcome);
    forwarding.tried.add(address);
    forwarding.next();
  };
  return {
    start(head) {
      started = true;
      const outcome = { kind: "answered", status: head.status } as const;
      settle(outcome, head.feedback);
      discarding = takesRetry(relay, forwarding, outcome, head.feedback);
      if (discarding) forwarding.known = outcome;
      else reply.start(head);
    },
    data: (chunk) => discarding || reply.data(chunk),
    end() {
      if (discarding) return retry(forwarding.known!);
      forwarding.ended = true;
      relay.open.delete(forwarding.open);
      reply.end();
    },
    fail(outcome, feedback) {
      if (discarding) return retry(outcome);
      if (started) return finishForwarding(relay, forwarding, outcome);
      settle(outcome, feedback);
      if (feedback.overloadedBelow) forwarding.call.overloadedBelow();
      if (takesRetry(relay, forwarding, outcome, feedback)) {
        return retry(outcome);
      }
      finishForwarding(relay, forwarding, outcome);
    },
  };
}

/** Returns whether another attempt follows; its retry is spent then. */
function takesRetry(
  relay: Relay,
  { call, ended }: Forwarding,
  outcome: Outcome,
  feedback: Feedback,
): boolean {
  if (ended || feedback.overloadedBelow || !isRetryable(outcome, call)) {
    return false;
  }
  return relay.clock() < call.context.deadlineAt && spend(call.account);
}
