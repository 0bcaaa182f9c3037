import type { Account } from "./account.ts";

/**
 * Opens an account with the retries that were allocated to a request. A number
 * that is negative or not an integer counts as none.
 */
export function openAccount(held: number): Account {
  return {
    held: Number.isSafeInteger(held) ? Math.max(0, held) : 0,
    open: true,
  };
}
