import test from "ava";
import { routeExpiringAt } from "./route_expiring_at.ts";

const run = (route: string, expiresAt: number) => ({
  request: { route, expiresAt },
});

test("a call counts for the run that expires closest to it", (t) => {
  const runs = [run("a", 1_000), run("b", 1_002), run("c", 5_000)];
  t.is(routeExpiringAt(runs, 1_002), "b");
  t.is(routeExpiringAt(runs, 3_000), null);
});

// A stopping daemon limits all runs to one time; all nested calls then counted
// for the route that happened to come first.
test("a call of runs that expire together counts for one of them", (t) => {
  t.is(routeExpiringAt([run("a", 1_000), run("b", 1_000)], 1_000), null);
  t.is(routeExpiringAt([run("a", 1_000), run("a", 1_000)], 1_000), "a");
  const closer = [run("a", 1_001), run("b", 1_001), run("c", 1_000)];
  t.is(routeExpiringAt(closer, 1_000), "c");
});
