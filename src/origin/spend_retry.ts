import type { RetryBudget } from "./retry_budget.ts";

/** Takes one repeat from the budget of a service; false if none is left. */
export function spendRetry(
  budget: RetryBudget,
  service: string,
  nested: boolean,
): boolean {
  const budgets = nested ? budget.leftNested : budget.left;
  const left = budgets.get(service) ?? 0;
  if (left < 1) return false;
  budgets.set(service, left - 1);
  return true;
}
