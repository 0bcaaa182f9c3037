import type { Account } from "./account.ts";

/**
 * Opens an account with the retries that came with a request. A number that is
 * not a whole one of at least 0 counts as none.
 */
export function openAccount(held: number): Account {
  return {
    held: Number.isSafeInteger(held) ? Math.max(0, held) : 0,
    open: true,
  };
}
