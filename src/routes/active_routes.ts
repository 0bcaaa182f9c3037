import type { RouteIndex } from "./route_index.ts";
import type { RouteTable } from "./route_table.ts";
import type { Route } from "./route.ts";
import type { TrafficSplit } from "./traffic_split.ts";

/** The active route table, prepared for lookups. */
export type ActiveRoutes = {
  table: RouteTable;
  index: RouteIndex;
  splits: ReadonlyMap<Route, TrafficSplit>;
};
