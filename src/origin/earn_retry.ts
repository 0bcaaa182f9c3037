import type { RetryBudget } from "./retry_budget.ts";

/** Adds the share of one request to the budget of its service. */
export function earnRetry(budget: RetryBudget, service: string): void {
  const left = budget.left.get(service) ?? budget.most;
  budget.left.set(service, Math.min(budget.most, left + budget.ratio));
}
