import type { RetryBudget } from "./retry_budget.ts";

// A request that runs once more makes its calls once more: at a service below
// three levels that repeat, their repeats add up to a quarter of its own.
const NESTED_SHARE = 1 / 12;
// Its calls multiply what is saved up.
const MOST_NESTED = 1;

/** Adds the share of one request to the budgets of its service. */
export function earnRetry(budget: RetryBudget, service: string): void {
  const { left, leftNested, ratio, most } = budget;
  left.set(service, Math.min(most, (left.get(service) ?? most) + ratio));
  const nested = (leftNested.get(service) ?? 0) + ratio * NESTED_SHARE;
  leftNested.set(service, Math.min(MOST_NESTED, nested));
}
