import { resizeRetryBudget } from "./resize_retry_budget.ts";
import type { RetryBudget } from "./retry_budget.ts";

/**
 * Creates one daemon's part of the fleet's retry budget, which allows `ratio`
 * repeats per request plus `slack` repeats.
 */
export function createRetryBudget(
  retries: { ratio: number; slack: number },
  daemons: number,
): RetryBudget {
  const budget: RetryBudget = {
    ratio: 0,
    totalRatio: 0,
    maxBalance: 0,
    single: new Map(),
    nested: new Map(),
    answered: new Map(),
  };
  resizeRetryBudget(budget, retries, daemons);
  return budget;
}
