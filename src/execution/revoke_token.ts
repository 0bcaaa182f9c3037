import type { Ledger } from "./ledger.ts";

/** Revokes a token that was never claimed, so that it can never run. */
export function revokeToken(ledger: Ledger, nonce: string): void {
  const execution = ledger.executions.get(nonce);
  if (execution?.state !== "queued") return;
  ledger.executions.set(nonce, {
    state: "ended",
    expiresAt: execution.expiresAt,
    outcome: { kind: "not-run", reason: "token-revoked" },
  });
}
