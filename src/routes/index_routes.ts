import type { Route } from "./route.ts";
import type { RouteIndex } from "./route_index.ts";

/** Groups the routes by host, the longest prefix first. */
export function indexRoutes(routes: readonly Route[]): RouteIndex {
  const index = new Map<string, Route[]>();
  for (const route of routes) {
    const hostRoutes = index.get(route.host);
    if (hostRoutes === undefined) index.set(route.host, [route]);
    else hostRoutes.push(route);
  }
  for (const hostRoutes of index.values()) {
    hostRoutes.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return index;
}
