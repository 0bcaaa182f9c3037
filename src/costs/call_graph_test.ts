import test from "ava";
import { seededRandom } from "../core/seeded_random.ts";
import { callsPerRun } from "./calls_per_run.ts";
import { costsOf } from "./costs_of.ts";
import { createCallGraph } from "./create_call_graph.ts";
import { decayCounts } from "./decay_counts.ts";
import { recordCall } from "./record_call.ts";
import { recordRunStart } from "./record_run_start.ts";
import { updateMovingAverage } from "../core/update_moving_average.ts";

/**
 * Simulates two routes of one service with equal request rates. `parent` makes
 * four calls a run, a third of which share its deadline; one call in ten
 * matches the deadline of another request by chance.
 */
function simulateGraph() {
  const random = seededRandom(3);
  const graph = createCallGraph("middle", 0);
  for (let run = 0; run < 400; run++) {
    recordRunStart(graph, "plain");
    recordRunStart(graph, "parent");
    for (let call = 0; call < 4; call++) {
      const draw = random();
      const caller = draw < 0.33
        ? "parent"
        : draw < 0.43
        ? (random() < 0.5 ? "plain" : "parent")
        : null;
      const byChance = random() < 0.1
        ? (random() < 0.5 ? "plain" : "parent")
        : null;
      recordCall(graph, "leaf", { matched: caller, byChance });
    }
    decayCounts(graph, run * 50);
  }
  return graph;
}

test("tells which of two routes makes the calls", (t) => {
  const graph = simulateGraph();
  t.true(Math.abs(callsPerRun(graph, "leaf", "parent") - 4) < 0.1);
  t.is(callsPerRun(graph, "leaf", "plain"), 0);
});

test("calls are attributed to both of two routes that make them", (t) => {
  const graph = createCallGraph("middle", 0);
  for (let run = 0; run < 100; run++) {
    recordRunStart(graph, "a");
    recordCall(graph, "leaf", { matched: "a", byChance: null });
    recordRunStart(graph, "b");
    for (let call = 0; call < 2; call++) {
      recordCall(graph, "leaf", { matched: "b", byChance: null });
    }
  }
  t.is(callsPerRun(graph, "leaf", "a"), 1);
  t.is(callsPerRun(graph, "leaf", "b"), 2);
});

test("without known callers, calls are divided evenly among all runs", (t) => {
  const graph = createCallGraph("middle", 0);
  for (let run = 0; run < 10; run++) {
    recordRunStart(graph, "a");
    recordRunStart(graph, "b");
    recordCall(graph, "leaf", null);
  }
  t.is(callsPerRun(graph, "leaf", "a"), 0.5);
});

test("adds the cost of nested calls to that of the run itself", (t) => {
  const graph = simulateGraph();
  graph.calleeCosts.set("leaf", [{ service: "deep", slotMs: 55 }]);
  updateMovingAverage(graph.slotMs, "parent", 200);
  updateMovingAverage(graph.slotMs, "plain", 500);
  const costs = costsOf(graph, "parent");
  t.deepEqual(costs.map(({ service }) => service), ["middle", "deep"]);
  t.is(costs[0]!.slotMs, 200);
  t.true(Math.abs(costs[1]!.slotMs - 220) < 10);
  t.deepEqual(costsOf(graph, "plain"), [{ service: "middle", slotMs: 500 }]);
});
