import type { Ledger } from "./ledger.ts";

/** Forgets tokens past their expiry, except those still running. */
export function sweepLedger(ledger: Ledger, now: number): void {
  for (const [nonce, execution] of ledger.executions) {
    const done = execution.state === "finished" || execution.state === "ended";
    if (done && now >= execution.expiresAt) ledger.executions.delete(nonce);
  }
}
