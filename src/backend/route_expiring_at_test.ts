import test from "ava";
import { routeExpiringAt } from "./route_expiring_at.ts";

const run = (route: string, expiresAt: number) => ({
  request: { route, expiresAt },
});

test("a call is attributed to the run that expires closest to it", (t) => {
  const runs = [run("a", 1_000), run("b", 1_002), run("c", 5_000)];
  t.is(routeExpiringAt(runs, 1_002), "b");
  t.is(routeExpiringAt(runs, 3_000), null);
});

// Guards against a stopping daemon that attributes all nested calls to the
// route that happens to come first, as it sets one deadline for all runs.
test("runs of several routes that expire together give no route", (t) => {
  t.is(routeExpiringAt([run("a", 1_000), run("b", 1_000)], 1_000), null);
  t.is(routeExpiringAt([run("a", 1_000), run("a", 1_000)], 1_000), "a");
  const closer = [run("a", 1_001), run("b", 1_001), run("c", 1_000)];
  t.is(routeExpiringAt(closer, 1_000), "c");
});
