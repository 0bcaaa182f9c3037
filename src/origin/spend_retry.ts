import type { RetryBudget } from "./retry_budget.ts";

/** Takes `cost` repeats from the budget of a service; false if they aren't left. */
export function spendRetry(
  budget: RetryBudget,
  service: string,
  cost: number,
): boolean {
  const left = budget.left.get(service) ?? budget.most;
  if (left < cost) return false;
  budget.left.set(service, left - cost);
  return true;
}
