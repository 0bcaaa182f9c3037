import type { Route } from "./route.ts";
import type { RouteIndex } from "./route_index.ts";

const PORT = /:\d*$/;

/** Returns the route of the host with the longest prefix of the path. */
export function findRoute(
  index: RouteIndex,
  host: string,
  target: string,
): Route | undefined {
  const ofHost = index.get(host) ??
    index.get(host.toLowerCase().replace(PORT, ""));
  if (ofHost === undefined) return undefined;
  const query = target.indexOf("?");
  const path = query < 0 ? target : target.slice(0, query);
  return ofHost.find((route) => path.startsWith(route.prefix));
}
