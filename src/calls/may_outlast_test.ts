import test from "ava";
import { mayOutlast } from "./may_outlast.ts";

test("a short run ends in time", (t) => {
  t.false(mayOutlast(1_000, 100, 2_000));
});

test("a run whose mean run time barely fits may outlast", (t) => {
  t.true(mayOutlast(1_000, 900, 2_000));
});

test("no run outlasts a daemon that is not stopping", (t) => {
  t.false(mayOutlast(1_000, 3_600_000, Infinity));
});
