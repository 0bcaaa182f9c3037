import test from "ava";
import { createCallGraph } from "./create_call_graph.ts";
import { recordRunStart } from "./record_run_start.ts";
import { repeatedShare } from "./repeated_share.ts";

function graphWith(repeated: number) {
  const graph = createCallGraph("s", 0);
  for (let run = 0; run < 1_000; run++) recordRunStart(graph, "a", repeated);
  for (let run = 0; run < 1_000; run++) recordRunStart(graph, "b");
  return graph;
}

test("calls of runs that repeat earlier work count as repeats", (t) => {
  const share = repeatedShare(graphWith(0.2), "called");
  t.true(Math.abs(share - 0.1) < 0.01, `${share}`);
});

test("calls of first runs don't count as repeats", (t) => {
  t.is(repeatedShare(graphWith(0), "called"), 0);
  t.is(repeatedShare(createCallGraph("s", 0), "called"), 0);
});

test("old repeats decay", (t) => {
  const graph = graphWith(1);
  for (let run = 0; run < 1_000; run++) recordRunStart(graph, "a");
  t.true(repeatedShare(graph, "called") < 0.001);
});
