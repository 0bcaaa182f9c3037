import type { Ledger } from "./ledger.ts";
import type { Waiter } from "./waiter.ts";

/** Takes a waiter off an execution, for a resend whose caller went away. */
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
