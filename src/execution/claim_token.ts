import type { Ledger } from "./ledger.ts";

/**
 * Claims a queued token immediately before the first byte goes to the backend
 * server. Returns false where it expired or was revoked while it waited.
 */
export function claimToken(
  ledger: Ledger,
  nonce: string,
  now: number,
): boolean {
  const execution = ledger.executions.get(nonce);
  if (execution?.state !== "queued") return false;
  if (now >= execution.expiresAt) {
    ledger.executions.set(nonce, {
      state: "ended",
      expiresAt: execution.expiresAt,
      outcome: { kind: "not-run", reason: "token-expired" },
    });
    return false;
  }
  ledger.executions.set(nonce, {
    state: "running",
    expiresAt: execution.expiresAt,
    waiters: execution.waiters,
  });
  return true;
}
