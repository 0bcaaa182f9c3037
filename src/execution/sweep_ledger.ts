import type { Execution } from "./execution.ts";
import type { Ledger } from "./ledger.ts";
import { responseSize } from "./response_size.ts";
import { settleExecution } from "./settle_execution.ts";

/** A token that arrives this late is still known to have run or not. */
const GRACE_MS = 10_000;
const MIN_BATCH = 2_048;
/** A full ledger is visited in parts: at once it would stall calls for tens of ms. */
const SWEEPS = 32;

/** Forgets tokens some time after their expiry, except those still running. */
export function sweepLedger(ledger: Ledger, now: number): void {
  const horizon = now - GRACE_MS;
  ledger.forgottenBefore = Math.max(ledger.forgottenBefore, horizon);
  const { executions } = ledger;
  const batch = Math.max(MIN_BATCH, executions.size / SWEEPS);
  ledger.cursor ??= executions.entries();
  for (let visited = 0; visited < batch; visited++) {
    const { done, value } = ledger.cursor.next();
    if (done) {
      ledger.cursor = null;
      return;
    }
    const [nonce, execution] = value;
    if (execution.expiresAt < horizon) forget(ledger, nonce, execution);
  }
}

function forget(ledger: Ledger, nonce: string, execution: Execution): void {
  if (execution.state === "running") return;
  if (execution.state === "finished") {
    ledger.cachedBytes -= responseSize(execution.response);
  }
  if (execution.state === "queued") {
    settleExecution(ledger, { nonce, execution }, {
      kind: "not-run",
      reason: "token-expired",
    });
  }
  ledger.executions.delete(nonce);
}
