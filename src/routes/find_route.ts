import type { Route } from "./route.ts";
import type { RouteIndex } from "./route_index.ts";

const PORT_SUFFIX = /:\d*$/;

/** Finds the host's route with the longest prefix that matches the path. */
export function findRoute(
  index: RouteIndex,
  host: string,
  target: string,
): Route | undefined {
  const hostRoutes = index.get(host) ??
    index.get(host.toLowerCase().replace(PORT_SUFFIX, ""));
  if (hostRoutes === undefined) return undefined;
  const query = target.indexOf("?");
  const path = query < 0 ? target : target.slice(0, query);
  return hostRoutes.find((route) => path.startsWith(route.prefix));
}
