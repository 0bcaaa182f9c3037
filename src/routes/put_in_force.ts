import type { Random } from "../core/random.ts";
import { createSplit } from "./create_split.ts";
import { indexRoutes } from "./index_routes.ts";
import type { RouteTable } from "./route_table.ts";
import type { RoutesInForce } from "./routes_in_force.ts";

/** Prepares a table; one that isn't newer changes nothing, so none reverts. */
export function putInForce(
  current: RoutesInForce | null,
  table: RouteTable,
  random: Random,
): RoutesInForce | null {
  if (current !== null && table.version <= current.table.version) {
    return current;
  }
  return {
    table,
    index: indexRoutes(table.routes),
    splits: new Map(
      table.routes.map((route) => [route, createSplit(route, random)]),
    ),
  };
}
