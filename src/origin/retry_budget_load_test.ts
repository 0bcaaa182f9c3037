import test from "ava";
import { seededRandom } from "../core/seeded_random.ts";
import { createCallGraph } from "../costs/create_call_graph.ts";
import { recordRunStart } from "../costs/record_run_start.ts";
import { repeatedShare } from "../costs/repeated_share.ts";
import { createRetryBudget } from "./create_retry_budget.ts";
import { creditRetry } from "./credit_retry.ts";
import { spendRetry } from "./spend_retry.ts";

// Scenario: a deep service rejects more than half of its arrivals, so that runs
// fail at all levels above it, and servers at some levels lose answers. Every
// level repeats as much as it may. A repeated run makes its calls again, and
// these count as repeats wherever they arrive.

const RATIO = 0.2;
const WINDOW_S = 10;
const REJECTED_SHARE = 0.55;
const MAX_SENDS = 3;

type Load = {
  daemons: number;
  slack: number;
  rootsPerS: number;
  lostShare: number;
};
type Level = { service: string; calls: number; others: number };

/**
 * Calls of one run at each level; a root leads to 10 at the last one. `others`
 * is the number of requests without calls per request with calls.
 */
const LEVELS: readonly Level[] = [
  { service: "shop", calls: 2, others: 0.2 },
  { service: "stock", calls: 1, others: 0.2 },
  { service: "lots", calls: 5, others: 0.2 },
  { service: "deep", calls: 0, others: 0 },
];

/** Returns requests and repeats at the deepest service within one window. */
function simulate({ daemons, slack, rootsPerS, lostShare }: Load) {
  const random = seededRandom(7);
  const fleet = Array.from({ length: daemons }, () => ({
    budget: createRetryBudget({ ratio: RATIO, slack }, daemons),
    graph: createCallGraph("s", 0),
  }));
  // The daemons are divided evenly among the services.
  const perLevel = Math.floor(daemons / LEVELS.length);
  const serverOf = (depth: number) =>
    fleet[depth * perLevel + Math.floor(random() * perLevel)]!;
  let requests = 0;
  let repeats = 0;
  let faulty = false;
  const send = (
    from: (typeof fleet)[number],
    depth: number,
    repeated: boolean,
  ): boolean => {
    const { service, calls, others } = LEVELS[depth]!;
    const { budget, graph } = from;
    const inheritedShare = depth === 0 ? 0 : repeatedShare(graph, service);
    const call = { service, route: service, inheritedShare };
    creditRetry(budget, call);
    if (random() < others) creditRetry(budget, { ...call, route: "other" });
    const last = calls === 0;
    if (last && !repeated) requests++;
    for (let sends = 1; sends <= MAX_SENDS; sends++) {
      const isRepeat = repeated || sends > 1;
      if (last && isRepeat) repeats++;
      const server = serverOf(depth);
      recordRunStart(server.graph, service, sends > 1 ? 1 : inheritedShare);
      let succeeded = !(last && faulty && random() < REJECTED_SHARE);
      for (let made = 0; made < calls; made++) {
        if (!send(server, depth + 1, isRepeat)) succeeded = false;
      }
      const noAnswer = !last && faulty && random() < lostShare;
      if (succeeded && !noAnswer) return true;
      const kind = last ? "single" : noAnswer ? "nested" : "answered";
      if (!spendRetry(budget, kind, service)) return false;
    }
    return false;
  };
  const runWindow = () => {
    for (let i = 0; i < rootsPerS * WINDOW_S; i++) {
      send(fleet[Math.floor(random() * daemons)]!, 0, false);
    }
  };
  // Before the fault, all daemons fill their budgets.
  runWindow();
  requests = 0;
  repeats = 0;
  faulty = true;
  runWindow();
  return { requests, repeats };
}

for (
  const load of [
    { daemons: 12, slack: 48, rootsPerS: 585, lostShare: 0 },
    { daemons: 12, slack: 48, rootsPerS: 585, lostShare: 0.3 },
    { daemons: 84, slack: 115, rootsPerS: 862, lostShare: 0 },
    { daemons: 84, slack: 115, rootsPerS: 862, lostShare: 0.3 },
  ]
) {
  const { daemons, lostShare } = load;
  test(`${daemons} daemons that lose ${lostShare} of the answers keep to the budget`, (t) => {
    const { requests, repeats } = simulate(load);
    const allowed = RATIO * requests + load.slack;
    t.log(repeats, "of", allowed);
    t.true(repeats <= allowed, `${repeats} of ${allowed}`);
  });
}
