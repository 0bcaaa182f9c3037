import type { Account } from "./account.ts";

/**
 * Returns what a child call reported unspent; never more than was allocated.
 * To be called at most once for each allocation, and not at all where the
 * response was lost: the child may have spent everything.
 */
export function reclaim(
  account: Account,
  { allocated, unspent }: { allocated: number; unspent: number },
): void {
  if (!account.open || !Number.isSafeInteger(unspent)) return;
  account.held += Math.max(0, Math.min(allocated, unspent));
}
