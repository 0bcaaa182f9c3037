import type { Account } from "./account.ts";
import type { SplitPolicy } from "./split_policy.ts";
import { splitPolicies } from "./split_policies.ts";

/**
 * Best goodput at and above capacity in bench/retry_split.ts: a retry close to
 * the failure repeats the least work.
 */
const DEFAULT_SPLIT: SplitPolicy = "all";

/** Deducts the retries of a child call from an account and returns them. */
export function allocate(
  account: Account,
  split: SplitPolicy = DEFAULT_SPLIT,
): number {
  if (!account.open) return 0;
  const allocated = splitPolicies[split](account.held);
  account.held -= allocated;
  return allocated;
}
