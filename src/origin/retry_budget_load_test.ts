import test from "ava";
import { seededRandom } from "../core/seeded_random.ts";
import { createCallGraph } from "../costs/create_call_graph.ts";
import { recordRunStart } from "../costs/record_run_start.ts";
import { repeatedShare } from "../costs/repeated_share.ts";
import { createRetryBudget } from "./create_retry_budget.ts";
import { creditRetry } from "./credit_retry.ts";
import { spendRetry } from "./spend_retry.ts";

// The load: a deep service rejects more than half of its arrivals, so that the
// runs at all levels above it fail, and at some of them servers lose answers;
// every level repeats as much as it may. A run that is repeated makes its calls
// once more, and those count as repeats wherever they arrive.

const RATIO = 0.2;
const WINDOW_S = 10;
const REJECTED = 0.55;
const MOST_SENDS = 3;

type Load = { daemons: number; slack: number; rootsPerS: number; lost: number };
type Level = { service: string; calls: number; others: number };

/**
 * Calls of one run at each level: a root leads to 10 at the last one. `others`
 * are requests of the same service that make no calls, for each with calls.
 */
const LEVELS: readonly Level[] = [
  { service: "shop", calls: 2, others: 0.2 },
  { service: "stock", calls: 1, others: 0.2 },
  { service: "lots", calls: 5, others: 0.2 },
  { service: "deep", calls: 0, others: 0 },
];

/** Returns requests and repeats at the deepest service within one window. */
function play({ daemons, slack, rootsPerS, lost }: Load) {
  const random = seededRandom(7);
  const all = Array.from({ length: daemons }, () => ({
    budget: createRetryBudget({ ratio: RATIO, slack }, daemons),
    graph: createCallGraph("s", 0),
  }));
  // Each service has the servers beside its part of the daemons.
  const perLevel = Math.floor(daemons / LEVELS.length);
  const serverOf = (depth: number) =>
    all[depth * perLevel + Math.floor(random() * perLevel)]!;
  let requests = 0;
  let repeats = 0;
  let troubled = false;
  const send = (
    from: (typeof all)[number],
    depth: number,
    repeated: boolean,
  ): boolean => {
    const { service, calls, others } = LEVELS[depth]!;
    const { budget, graph } = from;
    const inheritedShare = depth === 0 ? 0 : repeatedShare(graph, service);
    const call = { service, route: service, inheritedShare: inheritedShare };
    creditRetry(budget, call);
    if (random() < others) creditRetry(budget, { ...call, route: "other" });
    const last = calls === 0;
    if (last && !repeated) requests++;
    for (let sends = 1; sends <= MOST_SENDS; sends++) {
      const again = repeated || sends > 1;
      if (last && again) repeats++;
      const server = serverOf(depth);
      recordRunStart(server.graph, service, sends > 1 ? 1 : inheritedShare);
      let good = !(last && troubled && random() < REJECTED);
      for (let made = 0; made < calls; made++) {
        if (!send(server, depth + 1, again)) good = false;
      }
      const noAnswer = !last && troubled && random() < lost;
      if (good && !noAnswer) return true;
      const kind = last ? "single" : noAnswer ? "nested" : "answered";
      if (!spendRetry(budget, kind, service)) return false;
    }
    return false;
  };
  const window = () => {
    for (let i = 0; i < rootsPerS * WINDOW_S; i++) {
      send(all[Math.floor(random() * daemons)]!, 0, false);
    }
  };
  // Before the trouble, all daemons save up what they may.
  window();
  requests = 0;
  repeats = 0;
  troubled = true;
  window();
  return { requests, repeats };
}

for (
  const load of [
    { daemons: 12, slack: 48, rootsPerS: 585, lost: 0 },
    { daemons: 12, slack: 48, rootsPerS: 585, lost: 0.3 },
    { daemons: 84, slack: 115, rootsPerS: 862, lost: 0 },
    { daemons: 84, slack: 115, rootsPerS: 862, lost: 0.3 },
  ]
) {
  const { daemons, lost } = load;
  test(`${daemons} daemons that lose ${lost} of the answers exceed the budget`, (t) => {
    const { requests, repeats } = play(load);
    const allowed = RATIO * requests + load.slack;
    t.log(repeats, "of", allowed);
    t.true(repeats <= allowed, `${repeats} of ${allowed}`);
  });
}
