import type { Ledger } from "./ledger.ts";
import { settleExecution } from "./settle_execution.ts";

/** Revokes a token that was never claimed, so that it can never run. */
export function revokeToken(ledger: Ledger, nonce: string): void {
  const execution = ledger.executions.get(nonce);
  if (execution?.state !== "queued") return;
  settleExecution(ledger, { nonce, execution }, {
    kind: "not-run",
    reason: "token-revoked",
  });
}
