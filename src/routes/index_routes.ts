import type { Route } from "./route.ts";
import type { RouteIndex } from "./route_index.ts";

/** Orders the routes for lookups by host and longest prefix. */
export function indexRoutes(routes: readonly Route[]): RouteIndex {
  const index = new Map<string, Route[]>();
  for (const route of routes) {
    const ofHost = index.get(route.host);
    if (ofHost === undefined) index.set(route.host, [route]);
    else ofHost.push(route);
  }
  for (const ofHost of index.values()) {
    ofHost.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return index;
}
