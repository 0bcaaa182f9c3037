import type { RetryBudget } from "./retry_budget.ts";

// Part of the fleet's ratio that a daemon spends on repeats of its own
// requests; what their callers repeat needs the rest.
const RATIO_SHARE = 0.75;
// Part of it that both may use together; the rest is room for what is learned a
// little late.
const TOTAL_SHARE = 0.9;
// Repeats that one daemon may save up, of the share that it would have of the
// fleet's slack; the rest is room for daemons that come and go.
const SLACK_SHARE = 0.4;
// Repeats of one service that any daemon may save up.
const SAVED_REPEATS = 2;

/** Fits a budget to the fleet's `ratio` and `slack` and to its size. */
export function resizeRetryBudget(
  budget: RetryBudget,
  { ratio, slack }: { ratio: number; slack: number },
  daemons: number,
): void {
  budget.ratio = ratio * RATIO_SHARE;
  budget.totalRatio = ratio * TOTAL_SHARE;
  budget.maxSaved = SAVED_REPEATS + slack * SLACK_SHARE / daemons;
}
