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

// The load: a server runs two routes of one service at high rates. One makes
// five calls in a row, which expire before their callers do; requests of the
// other, which makes none, often expire together with such a call.

const SECONDS = 8;
const MS_PER_S = 1_000;
const CALLER = { route: "lots", perS: 400, workMs: 15, calls: 5, callMs: 25 };
const PLAIN = { route: "sheet", perS: 150, workMs: 150, calls: 0, callMs: 0 };

type Event = { at: number; note: (graph: CallGraph, at: number) => void };

/** Plays both routes; a process without time handles events in clumps. */
function play(
  { clumpMs, workOnMs = 0 }: {
    clumpMs: number;
    /** Work of a run after its last call. */
    workOnMs?: number;
  },
): CallGraph {
  const random = seededRandom(5);
  const wait = (meanMs: number) => -meanMs * Math.log(1 - random());
  const events: Event[] = [];
  for (const { route, perS, workMs, calls, callMs } of [CALLER, PLAIN]) {
    for (let at = 0; at < SECONDS * MS_PER_S; at += wait(MS_PER_S / perS)) {
      events.push({ at, note: (graph) => recordRunStart(graph, route) });
      let now = at + wait(workMs);
      for (let call = 0; call < calls; call++) {
        const match = random() < 0.3
          ? { matched: PLAIN.route, byChance: PLAIN.route }
          : null;
        events.push({
          at: now,
          note: (graph) => recordCall(graph, "deep", match),
        });
        now += wait(callMs);
        events.push({
          at: now,
          note: (graph, at) => recordReply(graph, "deep", at),
        });
        now += 0.2 + random();
      }
      if (calls > 0) now += workOnMs;
      events.push({
        at: now,
        note: (graph, at) => recordRunEnd(graph, route, at),
      });
    }
  }
  events.sort((a, b) => a.at - b.at);
  const graph = createCallGraph("middle", 0);
  for (const { at, note } of events) {
    note(graph, clumpMs === 0 ? at : Math.ceil(at / clumpMs) * clumpMs);
  }
  return graph;
}

test("a route that expires with calls by chance is charged for them", (t) => {
  const graph = play({ clumpMs: 0 });
  t.is(callsPerRun(graph, "deep", PLAIN.route), 0);
  const calls = callsPerRun(graph, "deep", CALLER.route);
  t.true(Math.abs(calls - CALLER.calls) < 0.2, `${calls}`);
});

for (const clumpMs of [2, 20, 100]) {
  test(`events handled in clumps of ${clumpMs} ms point to the wrong route`, (t) => {
    t.false(makesCalls(play({ clumpMs }), "deep", PLAIN.route));
  });
}

// Roots without calls were refused for a service that they don't use.
test("a route is charged for calls of runs that work on after them", (t) => {
  const graph = play({ clumpMs: 0, workOnMs: 10 });
  t.is(callsPerRun(graph, "deep", PLAIN.route), 0);
});
