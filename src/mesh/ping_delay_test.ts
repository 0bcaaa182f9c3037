import test from "ava";
import { pingDelay } from "./ping_delay.ts";

test("a link with calls is pinged as late as one without", (t) => {
  t.true(pingDelay(1, 11) < pingDelay(0, 11));
  t.is(pingDelay(1, 11), pingDelay(1, 300));
});

test("idle links of a large fleet are pinged as often as those of a small one", (t) => {
  t.is(pingDelay(0, 11), 2_000);
  t.is(pingDelay(0, 300), 30_000);
});
