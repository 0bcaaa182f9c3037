import test from "ava";
import { outlasts } from "./outlasts.ts";

test("a short run ends in time", (t) => {
  t.false(outlasts(1_000, 100, 2_000));
});

test("a run that is over in time only if it is quick outlasts", (t) => {
  t.true(outlasts(1_000, 900, 2_000));
});

test("nothing outlasts a daemon that isn't stopping", (t) => {
  t.false(outlasts(1_000, 3_600_000, Infinity));
});
