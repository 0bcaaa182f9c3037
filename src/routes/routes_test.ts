import test from "ava";
import { chooseService } from "./choose_service.ts";
import { createTrafficSplit } from "./create_traffic_split.ts";
import { findRoute } from "./find_route.ts";
import { indexRoutes } from "./index_routes.ts";
import { activateRoutes } from "./activate_routes.ts";
import type { Route } from "./route.ts";
import type { RouteTable } from "./route_table.ts";

function route(host: string, prefix: string, parts = [["s", 1]]): Route {
  return {
    name: `${host}${prefix}`,
    host,
    prefix,
    parts: parts.map(([service, weight]) => ({
      service: String(service),
      weight: Number(weight),
    })),
    repeatable: true,
    timeoutMs: 1_000,
    targetLatencyMs: 500,
    maxAttempts: 2,
    rank: 1,
  };
}

const index = indexRoutes([
  route("a.example", "/x/"),
  route("a.example", "/x/y/"),
  route("b.example", "/"),
]);
const name = (host: string, target: string) =>
  findRoute(index, host, target)?.name;

test("the longest prefix of the host's routes wins", (t) => {
  t.is(name("a.example", "/x/z"), "a.example/x/");
  t.is(name("a.example", "/x/y/z?q=/"), "a.example/x/y/");
  t.is(name("A.Example:8080", "/x/"), "a.example/x/");
});

test("a path that matches no prefix has no route", (t) => {
  t.is(name("a.example", "/x"), undefined);
  t.is(name("a.example", "/xy/"), undefined);
  t.is(name("a.example", "/?/x/"), undefined);
  t.is(name("c.example", "/x/"), undefined);
});

test("parts receive requests in proportion to their weights", (t) => {
  const parts = [["s", 90], ["u", 10]];
  const split = createTrafficSplit(route("a", "/", parts), () => 0.7);
  for (let run = 0; run < 5; run++) {
    let count = 0;
    for (let i = 0; i < 100; i++) if (chooseService(split) === "u") count++;
    t.true(Math.abs(count - 10) <= 1);
  }
});

const table = (version: number): RouteTable => ({
  version,
  routes: [route("a", "/")],
  services: new Map(),
  limits: { headBytes: 1, bodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 },
});

test("an older table never replaces a newer one", (t) => {
  const newer = activateRoutes(null, table(7), Math.random);
  t.is(activateRoutes(newer, table(6), Math.random), newer);
  t.is(activateRoutes(newer, table(7), Math.random), newer);
  t.is(activateRoutes(newer, table(9), Math.random)!.table.version, 9);
});
