import { Header } from "../context/header.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import type { CachedResponse } from "./cached_response.ts";
import type { Ledger } from "./ledger.ts";
import { settleExecution } from "./settle_execution.ts";

/**
 * Records the end of a run and tells the resends that joined it. A response
 * too large to keep reaches those, but later resends get `unknown`. `not-run`
 * is for a run of which no byte reached the backend server.
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

/** Tokens issued with a response must not be handed out again when it is replayed. */
function withoutTokens(
  result: CachedResponse | Outcome,
): CachedResponse | Outcome {
  if ("kind" in result) return result;
  const headers = Object.entries(result.headers)
    .filter(([name]) => name.toLowerCase() !== Header.tokens);
  return { ...result, headers: Object.fromEntries(headers) };
}
