import type { Account } from "./account.ts";

/** Spends one retry; returns whether the account held one. */
export function spend(account: Account): boolean {
  if (!account.open || account.held < 1) return false;
  account.held -= 1;
  return true;
}
