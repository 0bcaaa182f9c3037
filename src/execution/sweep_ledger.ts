import type { Execution } from "./execution.ts";
import type { Ledger } from "./ledger.ts";
import { responseSize } from "./response_size.ts";
import { settleExecution } from "./settle_execution.ts";

/**
 * Time for which entries outlive their tokens. Until then it is known whether a
 * token that arrives late has run.
 */
const GRACE_MS = 10_000;
const MIN_BATCH = 2_048;
/**
 * A pass over a full ledger is divided into this many sweeps. Done at once, it
 * would delay requests by tens of ms.
 */
const SWEEPS_PER_PASS = 32;

/**
 * Deletes entries some time after their tokens expired, except those that are
 * still running. Each call visits a part of the ledger.
 */
export function sweepLedger(ledger: Ledger, now: number): void {
  const cutoff = now - GRACE_MS;
  ledger.forgottenBefore = Math.max(ledger.forgottenBefore, cutoff);
  const { executions } = ledger;
  const batch = Math.max(MIN_BATCH, executions.size / SWEEPS_PER_PASS);
  ledger.cursor ??= executions.entries();
  for (let visited = 0; visited < batch; visited++) {
    const { done, value } = ledger.cursor.next();
    if (done) {
      ledger.cursor = null;
      return;
    }
    const [nonce, execution] = value;
    if (execution.expiresAt < cutoff) deleteEntry(ledger, nonce, execution);
  }
}

function deleteEntry(
  ledger: Ledger,
  nonce: string,
  execution: Execution,
): void {
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
