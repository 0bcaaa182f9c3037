import type { Outcome } from "../outcomes/outcome.ts";
import { requestPriority } from "../context/request_priority.ts";
import { spend } from "../retries/spend.ts";
import { permitsRetry } from "../shedding/permits_retry.ts";
import type { Feedback } from "./feedback.ts";
import type { Forwarding } from "./forwarding.ts";
import { isRetryable } from "./is_retryable.ts";
import type { Relay } from "./relay.ts";

/** How an attempt ended. */
type AttemptResult = { outcome: Outcome; feedback: Feedback };

/**
 * Returns whether an attempt at another daemon may follow. If so, a retry has
 * been spent for it.
 */
export function trySpendRetry(
  relay: Relay,
  forwarding: Forwarding,
  { outcome, feedback }: AttemptResult,
): boolean {
  const { call, ended, known } = forwarding;
  const now = relay.clock();
  if (ended || now >= call.context.deadlineAt) return false;
  if (feedback.downstreamOverload || !isRetryable(outcome, call)) return false;
  // An earlier attempt may have run; another token could run the request again.
  if (known?.kind === "unknown" && !call.rule.idempotent) return false;
  const overloaded = outcome.kind === "not-run" &&
    outcome.reason === "overload";
  if (
    overloaded && !anotherDaemonPermits(relay, forwarding, feedback.level, now)
  ) {
    return false;
  }
  return spend(call.account);
}

/**
 * Returns whether an untried daemon may admit the call: one at the same
 * admission level would reject it for overload as well.
 */
function anotherDaemonPermits(
  relay: Relay,
  { call, triedDaemons: tried }: Forwarding,
  level: number | null,
  now: number,
): boolean {
  const { service, context } = call;
  const priority = requestPriority(context);
  return relay.candidates(service).some(({ address }) =>
    !tried.has(address) && permitsRetry(relay.shedding, {
      service,
      daemon: address,
      priority,
      rejectionLevel: level ?? 0,
      department: context.department,
    }, now)
  );
}
