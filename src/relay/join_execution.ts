import type { CachedResponse } from "../execution/cached_response.ts";
import { joinExecution as join } from "../execution/join_execution.ts";
import { leaveExecution } from "../execution/leave_execution.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { Attempt } from "./attempt.ts";
import type { Exchange } from "./exchange.ts";
import { inboundFeedback } from "./inbound_feedback.ts";
import type { Relay } from "./relay.ts";
import type { Reply } from "./reply.ts";

/** Answers a resend with the result of the execution under its token. */
export function joinExecution(
  relay: Relay,
  { attempt, nonce }: { attempt: Attempt; nonce: string },
  reply: Reply,
): Exchange {
  const { attemptId } = attempt.context;
  const detach = () => {
    relay.joined.delete(attemptId);
    relay.open.delete(entry);
    leaveExecution(relay.ledger, nonce, deliver);
  };
  const deliver = (result: CachedResponse | Outcome) => {
    detach();
    const feedback = inboundFeedback(relay, attempt, null);
    if ("kind" in result) return reply.fail(result, feedback);
    reply.start({ ...result, feedback });
    reply.data(result.body);
    reply.end();
  };
  const entry = {
    deadlineAt: attempt.context.deadlineAt,
    expire: () => deliver({ kind: "unknown", reason: "deadline" }),
  };
  relay.log("join", { attempt: attemptId, nonce });
  const result = join(relay.ledger, nonce, deliver);
  if (result !== null) deliver(result);
  else {
    relay.open.add(entry);
    relay.joined.add(attemptId);
  }
  return { cancel: detach, resume: () => {} };
}
