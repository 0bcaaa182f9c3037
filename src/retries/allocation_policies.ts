import type { AllocationPolicy } from "./allocation_policy.ts";

/** Retries allocated to a child call out of those held, by policy. */
export const allocationPolicies: Record<
  AllocationPolicy,
  (held: number) => number
> = {
  "half": (held) => Math.floor(held / 2),
  "all": (held) => held,
  /** Allocates up to three retries in full, so deep calls still get some. */
  "keep-quarter": (held) => Math.ceil(0.75 * held),
  "keep-one": (held) => Math.max(0, held - 1),
};
