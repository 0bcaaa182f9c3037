import type { Account } from "./account.ts";

/** Returns what a child call reported unspent; never more than was allocated. */
export function reclaim(
  account: Account,
  { allocated, unspent }: { allocated: number; unspent: number },
): void {
  if (!account.open) return;
  account.held += Math.max(0, Math.min(allocated, unspent));
}
