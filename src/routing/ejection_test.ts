import test from "ava";
import { begin } from "./begin.ts";
import { choose } from "./choose.ts";
import { createRouting } from "./create_routing.ts";
import { end } from "./end.ts";

const LOST = { kind: "unknown", reason: "connection-lost" } as const;
const candidates = ["a:1", "b:1"].map((address) => ({
  address,
  dataCentre: "one",
  slots: 10,
  since: 0,
  warmupMs: 0,
}));

test("resends of tokens to an ejected daemon do not prolong its ejection", (t) => {
  const routing = createRouting("one");
  const query = { service: "s", candidates, exclude: new Set<string>() };
  const fail = (now: number) =>
    end(routing, { address: "a:1", outcome: LOST, load: null }, now);
  choose(routing, query, 0, () => 0);
  for (let attempt = 0; attempt < 3; attempt++) {
    begin(routing, "a:1", 0);
    fail(0);
  }
  // A token binds its resends to the daemon, even while that is ejected.
  for (let resend = 0; resend < 10; resend++) {
    begin(routing, "a:1", 100);
    fail(100);
  }
  const choice = choose(routing, query, 1_000, () => 0);
  t.like(choice, { kind: "chosen", reason: "probe" });
});
