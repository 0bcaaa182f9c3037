import type { RetryBudget } from "./retry_budget.ts";

// Shares of the ratio for retries of requests with nested calls. Such a retry
// repeats the calls at every level below, so the rest is left for the retries
// of those levels.
const NESTED_SHARE = 0.2;
const ANSWERED_SHARE = 0.05;
// A burst of these retries is multiplied by their nested calls, so at most this
// many accumulate.
const MAX_NESTED_BALANCE = 1;

/**
 * Adds the share of one request to the budgets of its service and its route.
 * Repeats inherited from callers count against the same ratio, so the repeats
 * of all levels together stay within it, whatever the depth of the call graph.
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
  const { ratio, totalRatio, maxBalance } = budget;
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
