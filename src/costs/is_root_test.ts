import test from "ava";
import { createCallGraph } from "./create_call_graph.ts";
import { decayCounts } from "./decay_counts.ts";
import { isRoot } from "./is_root.ts";
import { recordCaller } from "./record_caller.ts";

const SERVICES = 4;

function graphOf(callers: Record<string, number>) {
  const graph = createCallGraph("s", 0);
  for (const [caller, count] of Object.entries(callers)) {
    for (let i = 0; i < count; i++) recordCaller(graph, "r", caller);
  }
  return graph;
}

test("a route requested on the VMs of all services is a root", (t) => {
  const graph = graphOf({ a: 10, b: 12, c: 9, d: 11 });
  t.true(isRoot(graph, "r", SERVICES));
});

test("a route called by two services is nested", (t) => {
  t.false(isRoot(graphOf({ a: 90, b: 30, c: 1 }), "r", SERVICES));
});

test("too few requests leave it undecided", (t) => {
  t.is(isRoot(graphOf({ a: 3, b: 2 }), "r", SERVICES), undefined);
  t.is(isRoot(graphOf({}), "r", SERVICES), undefined);
});

test("in a fleet of two services, both must be callers", (t) => {
  t.true(isRoot(graphOf({ a: 10, b: 10 }), "r", 2));
  t.false(isRoot(graphOf({ a: 20 }), "r", 2));
});

test("old callers decay", (t) => {
  const graph = graphOf({ a: 40, b: 40, c: 10 });
  t.true(isRoot(graph, "r", SERVICES));
  for (let round = 1; round <= 5; round++) {
    decayCounts(graph, round * 5_000);
    for (let i = 0; i < 40; i++) recordCaller(graph, "r", "a");
  }
  t.false(isRoot(graph, "r", SERVICES));
});
