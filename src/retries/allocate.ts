import type { Account } from "./account.ts";
import type { Split } from "./split.ts";
import { splits } from "./splits.ts";

/**
 * Best goodput at and above capacity in bench/retry_split.ts: a retry close to
 * the failure repeats the least work.
 */
const DEFAULT_SPLIT: Split = "all";

/** Takes retries for a child call off an account and returns their number. */
export function allocate(
  account: Account,
  split: Split = DEFAULT_SPLIT,
): number {
  if (!account.open) return 0;
  const allocated = splits[split](account.held);
  account.held -= allocated;
  return allocated;
}
