import test from "ava";
import { combineOutcomes } from "./combine_outcomes.ts";

test("rejection after an attempt with an unknown outcome stays unknown", (t) => {
  const combined = combineOutcomes(
    { kind: "unknown", reason: "connection-lost" },
    { kind: "not-run", reason: "overload" },
  );
  t.is(combined.kind, "unknown");
});
