import { combineOutcomes } from "../outcomes/combine_outcomes.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { endForwarding } from "./end_forwarding.ts";
import type { Forwarding } from "./forwarding.ts";
import { noFeedback } from "./no_feedback.ts";
import type { Relay } from "./relay.ts";

/** Ends a call that receives no complete response. */
export function failForwarding(
  relay: Relay,
  forwarding: Forwarding,
  latest: Outcome,
): void {
  const { call, reply, known } = forwarding;
  const outcome = reportableOutcome(forwarding, combineOutcomes(known, latest));
  if (!endForwarding(relay, forwarding, outcome)) return;
  if (latest.kind === "not-run" && latest.reason === "overload") {
    call.onDownstreamOverload();
  }
  reply.fail(outcome, noFeedback);
}

function reportableOutcome(forwarding: Forwarding, outcome: Outcome): Outcome {
  // The response of an earlier attempt was discarded for a retry.
  if (outcome.kind === "answered") {
    return { kind: "unknown", reason: "response-gone" };
  }
  // An earlier send under a token that the caller supplied may have run; only
  // the daemon that issued the token knows.
  const { attempts, call } = forwarding;
  if (outcome.kind === "not-run" && call.hasCallerToken && attempts === 0) {
    return { kind: "unknown", reason: "connection-lost" };
  }
  return outcome;
}
