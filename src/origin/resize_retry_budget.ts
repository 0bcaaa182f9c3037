import type { RetryBudget } from "./retry_budget.ts";

// Part of the fleet's ratio that a daemon spends on repeats of its own
// requests; the rest is for repeats that these inherit from their callers.
const RATIO_SHARE = 0.75;
// Part of the ratio that both may use together; the rest is a margin, as the
// inherited share is known with a delay.
const TOTAL_SHARE = 0.9;
// Part of an equal share of the fleet's slack that one daemon may save up; the
// rest is a margin for daemons that join and leave.
const SLACK_SHARE = 0.4;
// Repeats for one service that each daemon may save up besides.
const BASE_BALANCE = 2;

/** Sets the limits of a budget by the fleet's `ratio`, `slack` and size. */
export function resizeRetryBudget(
  budget: RetryBudget,
  { ratio, slack }: { ratio: number; slack: number },
  daemons: number,
): void {
  budget.ratio = ratio * RATIO_SHARE;
  budget.totalRatio = ratio * TOTAL_SHARE;
  budget.maxBalance = BASE_BALANCE + slack * SLACK_SHARE / daemons;
}
