import type { Account } from "./account.ts";

/** Closes an account and returns the unspent retries to report upstream. */
export function closeAccount(account: Account): number {
  const unspent = account.open ? account.held : 0;
  account.open = false;
  account.held = 0;
  return unspent;
}
