import type { RetryBudget } from "./retry_budget.ts";

// A request that runs once more makes its calls once more, at each level below
// it; this part of the ratio leaves room for the repeats of those levels.
const NESTED_SHARE = 0.2;
const ANSWERED_SHARE = 0.05;
// Its calls multiply what is saved up, so little is.
const MAX_NESTED_BALANCE = 1;

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
  const { ratio, totalRatio, maxBalance: maxBalance } = budget;
  const availableRatio = totalRatio * (1 - inheritedShare) - inheritedShare;
  const balance = budget.single.get(service) ?? maxBalance;
  const newBalance = balance + Math.min(availableRatio, ratio);
  budget.single.set(
    service,
    Math.max(-maxBalance, Math.min(maxBalance, newBalance)),
  );
  const share = Math.max(0, Math.min(availableRatio, ratio));
  credit(budget.nested, route, share * NESTED_SHARE);
  credit(budget.answered, route, share * ANSWERED_SHARE);
}

function credit(
  balances: Map<string, number>,
  route: string,
  share: number,
): void {
  balances.set(
    route,
    Math.min(MAX_NESTED_BALANCE, (balances.get(route) ?? 0) + share),
  );
}
