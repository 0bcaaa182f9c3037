import test from "ava";
import { creditRetry } from "./credit_retry.ts";
import type { RetryBudget } from "./retry_budget.ts";
import { spendRetry } from "./spend_retry.ts";

/** Spends what the budget allows on `requests`, a share of them inherited. */
function repeats(
  kinds: ("single" | "nested" | "answered")[],
  requests: number,
  inherited = 0,
): number {
  const budget: RetryBudget = {
    ratio: 0.15,
    totalRatio: 0.18,
    maxBalance: 4,
    single: new Map(),
    nested: new Map(),
    answered: new Map(),
  };
  let spent = 0;
  for (let i = 0; i < requests; i++) {
    creditRetry(budget, {
      service: "s",
      route: "s",
      inheritedShare: inherited,
    });
    for (const kind of kinds) if (spendRetry(budget, kind, "s")) spent++;
  }
  return spent;
}

test("repeats stay within the ratio and what was saved up", (t) => {
  const spent = repeats(["single"], 1_000);
  t.true(spent > 140 && spent <= 154, `${spent}`);
});

for (const levels of [1, 3, 8, 12]) {
  test(`repeats of ${levels} levels with calls stay within the ratio`, (t) => {
    const requests = 12_000;
    let inherited = 0;
    for (let level = 0; level < levels; level++) {
      inherited += repeats(["nested", "answered"], requests, inherited) /
        requests;
    }
    const all = inherited * requests +
      repeats(["single"], requests, inherited) - 4;
    t.true(all <= 0.2 * requests, `${all}`);
  });
}
