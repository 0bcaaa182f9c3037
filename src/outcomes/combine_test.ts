import test from "ava";
import { combine } from "./combine.ts";

test("refusal after an unknown attempt stays unknown", (t) => {
  const whole = combine(
    { kind: "unknown", reason: "connection-lost" },
    { kind: "not-run", reason: "overload" },
  );
  t.is(whole.kind, "unknown");
});
