import type { RetryBudget } from "./retry_budget.ts";

/** Deducts one retry from a budget; returns false if none is left. */
export function spendRetry(
  budget: RetryBudget,
  kind: "single" | "nested" | "answered",
  /** Name of the service for single requests, else of the route. */
  key: string,
): boolean {
  const left = budget[kind].get(key) ?? 0;
  if (left < 1) return false;
  budget[kind].set(key, left - 1);
  return true;
}
