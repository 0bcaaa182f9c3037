import type { Outcome } from "../outcomes/outcome.ts";
import type { CachedResponse } from "./cached_response.ts";
import type { Ledger } from "./ledger.ts";

/** Records the end of a run and tells the resends that joined it. */
export function finishExecution(
  ledger: Ledger,
  nonce: string,
  result: CachedResponse | Outcome,
): void {
  const execution = ledger.executions.get(nonce);
  if (execution?.state !== "running") return;
  const { expiresAt } = execution;
  ledger.executions.set(
    nonce,
    "kind" in result
      ? { state: "ended", expiresAt, outcome: result }
      : { state: "finished", expiresAt, response: result },
  );
  for (const waiter of execution.waiters) waiter(result);
}
