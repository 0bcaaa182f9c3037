import type { Account } from "./account.ts";

/**
 * Credits the retries that a child call reported as unspent, up to the number
 * allocated to it. Must be called at most once for each allocation, and not at
 * all if the response was lost: the child may have spent everything.
 */
export function reclaim(
  account: Account,
  { allocated, unspent }: { allocated: number; unspent: number },
): void {
  if (!account.open || !Number.isSafeInteger(unspent)) return;
  account.held += Math.max(0, Math.min(allocated, unspent));
}
