import type { Outcome } from "../outcomes/outcome.ts";
import { count } from "../metrics/count.ts";
import { record } from "../metrics/record.ts";
import type { Forwarding } from "./forwarding.ts";
import type { Relay } from "./relay.ts";

/**
 * Records the count, retries and duration of a call that has ended, and logs
 * one without a response.
 */
export function countCall(
  relay: Relay,
  { call, attempts, startedAt }: Forwarding,
  outcome: Outcome,
): void {
  const { service } = call;
  const { importance } = call.context;
  const reason = outcome.kind === "answered" ? "" : outcome.reason;
  const { kind } = outcome;
  count(relay.metrics, "calls", { service, importance, outcome: kind, reason });
  if (attempts > 1) {
    count(relay.metrics, "retries", { service, importance }, attempts - 1);
  }
  const durationMs = relay.clock() - startedAt;
  record(
    relay.metrics,
    "call_ms",
    { service, importance, outcome: kind },
    durationMs,
  );
  if (kind === "answered") return;
  relay.log("outcome", {
    request: call.context.requestId,
    service,
    outcome: kind,
    reason,
    attempts,
    importance,
  });
}
