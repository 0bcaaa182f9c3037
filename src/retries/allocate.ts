import type { Account } from "./account.ts";

/** Takes retries for a child call off an account and returns their number. */
export function allocate(account: Account): number {
  if (!account.open) return 0;
  const allocated = Math.floor(account.held / 2);
  account.held -= allocated;
  return allocated;
}
