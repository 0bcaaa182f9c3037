import type { Account } from "./account.ts";
import type { AllocationPolicy } from "./allocation_policy.ts";
import { allocationPolicies } from "./allocation_policies.ts";

/**
 * Gives the best goodput at and above capacity: a retry close to the failure
 * repeats the least work.
 */
const DEFAULT_POLICY: AllocationPolicy = "all";

/** Deducts the retries of a child call from an account and returns them. */
export function allocate(
  account: Account,
  policy: AllocationPolicy = DEFAULT_POLICY,
): number {
  if (!account.open) return 0;
  const allocated = allocationPolicies[policy](account.held);
  account.held -= allocated;
  return allocated;
}
