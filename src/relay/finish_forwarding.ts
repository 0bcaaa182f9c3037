import { combine } from "../outcomes/combine.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { endForwarding } from "./end_forwarding.ts";
import type { Forwarding } from "./forwarding.ts";
import { noFeedback } from "./no_feedback.ts";
import type { Relay } from "./relay.ts";

/** Ends a call that gets no complete response. */
export function finishForwarding(
  relay: Relay,
  forwarding: Forwarding,
  latest: Outcome,
): void {
  const { call, reply, known } = forwarding;
  const outcome = tellable(forwarding, combine(known, latest));
  if (!endForwarding(relay, forwarding, outcome)) return;
  if (latest.kind === "not-run" && latest.reason === "overload") {
    call.overloadedBelow();
  }
  reply.fail(outcome, noFeedback);
}

function tellable(forwarding: Forwarding, outcome: Outcome): Outcome {
  // The response of an earlier attempt was discarded for a retry.
  if (outcome.kind === "answered") {
    return { kind: "unknown", reason: "response-gone" };
  }
  // Only the ledger of the token's own daemon knows that no earlier send of
  // the caller ran.
  const byLedger = forwarding.attempts > 0 &&
    outcome.reason !== "connect-failed";
  if (outcome.kind === "not-run" && forwarding.call.callerToken && !byLedger) {
    return { kind: "unknown", reason: "connection-lost" };
  }
  return outcome;
}
