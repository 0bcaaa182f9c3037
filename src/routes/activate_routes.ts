import type { Random } from "../core/random.ts";
import { createTrafficSplit } from "./create_traffic_split.ts";
import { indexRoutes } from "./index_routes.ts";
import type { RouteTable } from "./route_table.ts";
import type { ActiveRoutes } from "./active_routes.ts";

/**
 * Activates a route table. One that isn't newer than the current one is
 * ignored, so that a late copy of an old configuration can't revert it.
 */
export function activateRoutes(
  current: ActiveRoutes | null,
  table: RouteTable,
  random: Random,
): ActiveRoutes | null {
  if (current !== null && table.version <= current.table.version) {
    return current;
  }
  return {
    table,
    index: indexRoutes(table.routes),
    splits: new Map(
      table.routes.map((route) => [route, createTrafficSplit(route, random)]),
    ),
  };
}
