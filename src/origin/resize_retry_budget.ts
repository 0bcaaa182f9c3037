import type { RetryBudget } from "./retry_budget.ts";

// Share of the fleet's ratio that a daemon spends on retries of its own
// requests; the rest is for repeats that these inherit from their callers.
const RATIO_SHARE = 0.75;
// Share of the ratio that retries and inherited repeats may use together; the
// rest is a margin, because the inherited share is known only with a delay.
const TOTAL_SHARE = 0.9;
// Share of its equal part of the fleet's slack that a daemon's budget may hold;
// the rest is a margin for daemons that join and leave.
const SLACK_SHARE = 0.4;
// Retries for one service that each daemon's budget may hold in addition.
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
