import type { RetryBudget } from "./retry_budget.ts";

/** Takes one retry from the budget of a service; false if none is left. */
export function spendRetry(budget: RetryBudget, service: string): boolean {
  const left = budget.left.get(service) ?? budget.most;
  if (left < 1) return false;
  budget.left.set(service, left - 1);
  return true;
}
