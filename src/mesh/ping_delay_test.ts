import test from "ava";
import { pingDelay } from "./ping_delay.ts";

test("a link with calls is pinged sooner than an idle one", (t) => {
  t.true(pingDelay(1, 11) < pingDelay(0, 11));
  t.is(pingDelay(1, 11), pingDelay(1, 300));
});

test("idle links are pinged less often in a large fleet", (t) => {
  t.is(pingDelay(0, 11), 2_000);
  t.is(pingDelay(0, 300), 30_000);
});
