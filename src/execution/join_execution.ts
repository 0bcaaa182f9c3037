import type { Outcome } from "../outcomes/outcome.ts";
import type { CachedResponse } from "./cached_response.ts";
import type { Ledger } from "./ledger.ts";
import type { Waiter } from "./waiter.ts";

/**
 * Returns the result of an execution for a resend, or null if it is still
 * queued or running. In that case the waiter is called with the result later.
 */
export function joinExecution(
  ledger: Ledger,
  nonce: string,
  waiter: Waiter,
): CachedResponse | Outcome | null {
  const execution = ledger.executions.get(nonce);
  if (execution === undefined) {
    return { kind: "unknown", reason: "response-gone" };
  }
  if (execution.state === "finished") return execution.response;
  if (execution.state === "ended") return execution.outcome;
  execution.waiters.add(waiter);
  return null;
}
