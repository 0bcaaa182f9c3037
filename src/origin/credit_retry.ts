import type { RetryBudget } from "./retry_budget.ts";

// A request that runs once more makes its calls once more, at each level below
// it; this part of the ratio leaves room for the repeats of those levels.
const NESTED_SHARE = 0.2;
const ANSWERED_SHARE = 0.05;
// Its calls multiply what is saved up, so little is.
const MAX_NESTED = 1;

/**
 * Adds the share of one request to the budgets of its service and its route.
 * What its callers repeat is part of the same ratio, whatever the depth of the
 * call graph; so the repeats of all levels together stay within it.
 */
export function creditRetry(
  budget: RetryBudget,
  { service, route, inheritedShare }: {
    service: string;
    route: string;
    /** Share of such requests that are repeats because their callers are. */
    inheritedShare: number;
  },
): void {
  const { ratio, totalRatio, maxSaved } = budget;
  const free = totalRatio * (1 - inheritedShare) - inheritedShare;
  const before = budget.single.get(service) ?? maxSaved;
  const single = before + Math.min(free, ratio);
  budget.single.set(service, Math.max(-maxSaved, Math.min(maxSaved, single)));
  const share = Math.max(0, Math.min(free, ratio));
  credit(budget.nested, route, share * NESTED_SHARE);
  credit(budget.answered, route, share * ANSWERED_SHARE);
}

function credit(
  saved: Map<string, number>,
  route: string,
  share: number,
): void {
  saved.set(route, Math.min(MAX_NESTED, (saved.get(route) ?? 0) + share));
}
