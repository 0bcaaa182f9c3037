import type { CachedResponse } from "../execution/cached_response.ts";
import type { Execution } from "../execution/execution.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { Attempt } from "./attempt.ts";
import type { Exchange } from "./exchange.ts";
import { inboundFeedback } from "./inbound_feedback.ts";
import type { Relay } from "./relay.ts";
import type { Reply } from "./reply.ts";

/** Answers a resend from the run of its execution token. */
export function joinExecution(
  relay: Relay,
  { attempt, execution }: { attempt: Attempt; execution: Execution },
  reply: Reply,
): Exchange {
  let gone = false;
  const give = (result: CachedResponse | Outcome) => {
    if (gone) return;
    relay.open.delete(open);
    const feedback = inboundFeedback(relay, attempt, null);
    if ("kind" in result) return reply.fail(result, feedback);
    reply.start({ ...result, feedback });
    reply.data(result.body);
    reply.end();
  };
  const open = {
    deadlineAt: attempt.context.deadlineAt,
    expire: () => give({ kind: "unknown", reason: "deadline" }),
  };
  if (execution.state === "finished") give(execution.response);
  else if (execution.state === "ended") give(execution.outcome);
  else {
    relay.open.add(open);
    execution.waiters.push(give);
  }
  const cancel = () => {
    gone = true;
    relay.open.delete(open);
  };
  return { cancel, resume: () => {} };
}
