import test from "ava";
import { combineOutcomes } from "./combine_outcomes.ts";

test("refusal after an unknown attempt stays unknown", (t) => {
  const whole = combineOutcomes(
    { kind: "unknown", reason: "connection-lost" },
    { kind: "not-run", reason: "overload" },
  );
  t.is(whole.kind, "unknown");
});
