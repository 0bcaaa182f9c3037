import { Header } from "../context/header.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { CachedResponse } from "./cached_response.ts";
import type { Ledger } from "./ledger.ts";
import { settleExecution } from "./settle_execution.ts";

/**
 * Records the result of a run and passes it to the resends that joined it. A
 * response too large to cache still reaches those, but later resends get
 * `unknown`. The result may be `not-run` only if no byte reached the backend
 * server.
 */
export function finishExecution(
  ledger: Ledger,
  nonce: string,
  result: CachedResponse | Outcome,
): void {
  const execution = ledger.executions.get(nonce);
  if (execution?.state !== "running") return;
  settleExecution(ledger, { nonce, execution }, withoutTokens(result));
}

/**
 * Removes the tokens issued with a response: they must not be handed out again
 * when it is replayed.
 */
function withoutTokens(
  result: CachedResponse | Outcome,
): CachedResponse | Outcome {
  if ("kind" in result) return result;
  const headers = Object.entries(result.headers)
    .filter(([name]) => name.toLowerCase() !== Header.tokens);
  return { ...result, headers: Object.fromEntries(headers) };
}
