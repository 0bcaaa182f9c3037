import type { Ledger } from "./ledger.ts";
import type { Waiter } from "./waiter.ts";

/**
 * Removes a waiter from an execution, for a resend whose caller disconnected.
 */
export function leaveExecution(
  ledger: Ledger,
  nonce: string,
  waiter: Waiter,
): void {
  const execution = ledger.executions.get(nonce);
  if (execution !== undefined && "waiters" in execution) {
    execution.waiters.delete(waiter);
  }
}
