import test from "ava";
import { mayOutlast } from "./may_outlast.ts";

test("a short run ends in time", (t) => {
  t.false(mayOutlast(1_000, 100, 2_000));
});

test("a run that is over in time only if it is quick outlasts", (t) => {
  t.true(mayOutlast(1_000, 900, 2_000));
});

test("nothing outlasts a daemon that isn't stopping", (t) => {
  t.false(mayOutlast(1_000, 3_600_000, Infinity));
});
