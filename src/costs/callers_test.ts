import test from "ava";
import { seededRandom } from "../core/seeded_random.ts";
import type { CallGraph } from "./call_graph.ts";
import { callsPerRun } from "./calls_per_run.ts";
import { createCallGraph } from "./create_call_graph.ts";
import { makesCalls } from "./makes_calls.ts";
import { recordCall } from "./record_call.ts";
import { recordRunEnd } from "./record_run_end.ts";
import { recordReply } from "./record_reply.ts";
import { recordRunStart } from "./record_run_start.ts";

// Scenario: a server runs two routes of one service at high rates. Runs of one
// make five sequential calls, which expire before their callers do. Runs of the
// other make none, but often share a deadline with such a call by chance.

const SECONDS = 8;
const MS_PER_S = 1_000;
const CALLER = { route: "lots", perS: 400, workMs: 15, calls: 5, callMs: 25 };
const PLAIN = { route: "sheet", perS: 150, workMs: 150, calls: 0, callMs: 0 };

type Event = { at: number; apply: (graph: CallGraph, at: number) => void };

/** Simulates both routes; a busy process handles events once per `batchMs`. */
function simulate(
  { batchMs, workAfterMs = 0 }: {
    batchMs: number;
    /** Time that a run works after its last reply. */
    workAfterMs?: number;
  },
): CallGraph {
  const random = seededRandom(5);
  const exponential = (meanMs: number) => -meanMs * Math.log(1 - random());
  const events: Event[] = [];
  for (const { route, perS, workMs, calls, callMs } of [CALLER, PLAIN]) {
    for (
      let at = 0;
      at < SECONDS * MS_PER_S;
      at += exponential(MS_PER_S / perS)
    ) {
      events.push({ at, apply: (graph) => recordRunStart(graph, route) });
      let now = at + exponential(workMs);
      for (let call = 0; call < calls; call++) {
        const match = random() < 0.3
          ? { matched: PLAIN.route, byChance: PLAIN.route }
          : null;
        events.push({
          at: now,
          apply: (graph) => recordCall(graph, "deep", match),
        });
        now += exponential(callMs);
        events.push({
          at: now,
          apply: (graph, at) => recordReply(graph, "deep", at),
        });
        now += 0.2 + random();
      }
      if (calls > 0) now += workAfterMs;
      events.push({
        at: now,
        apply: (graph, at) => recordRunEnd(graph, route, at),
      });
    }
  }
  events.sort((a, b) => a.at - b.at);
  const graph = createCallGraph("middle", 0);
  for (const { at, apply } of events) {
    apply(graph, batchMs === 0 ? at : Math.ceil(at / batchMs) * batchMs);
  }
  return graph;
}

test("a route that shares deadlines with calls by chance is not charged for them", (t) => {
  const graph = simulate({ batchMs: 0 });
  t.is(callsPerRun(graph, "deep", PLAIN.route), 0);
  const calls = callsPerRun(graph, "deep", CALLER.route);
  t.true(Math.abs(calls - CALLER.calls) < 0.2, `${calls}`);
});

for (const batchMs of [2, 20, 100]) {
  test(`events handled in batches of ${batchMs} ms don't point to the wrong route`, (t) => {
    t.false(makesCalls(simulate({ batchMs }), "deep", PLAIN.route));
  });
}

// Where runs work on after their last reply, no caller is known and the calls
// are divided among all routes. Roots without calls were refused for a service
// that they don't use.
test("a route is not charged for calls of other runs that work on after the reply", (t) => {
  const graph = simulate({ batchMs: 0, workAfterMs: 10 });
  t.is(callsPerRun(graph, "deep", PLAIN.route), 0);
});
