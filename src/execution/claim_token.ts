import type { Ledger } from "./ledger.ts";
import { settleExecution } from "./settle_execution.ts";

/**
 * Claims a queued token immediately before the first byte is sent to the
 * backend server. Returns false if the token expired or was revoked while it
 * was queued.
 */
export function claimToken(
  ledger: Ledger,
  nonce: string,
  now: number,
): boolean {
  const execution = ledger.executions.get(nonce);
  if (execution?.state !== "queued") return false;
  const { expiresAt, waiters } = execution;
  if (now >= expiresAt) {
    settleExecution(ledger, { nonce, execution }, {
      kind: "not-run",
      reason: "token-expired",
    });
    return false;
  }
  const steps = new Map<string, string>();
  ledger.executions.set(nonce, { state: "running", expiresAt, waiters, steps });
  return true;
}
