import type { CallGraph } from "./call_graph.ts";

// Clients are beside the servers of all services, while a nested call comes
// from the one or two services whose servers make it.
const ROOT_CALLERS = 3;
// A caller with fewer requests, or a smaller share, may be an exception.
const LEAST_REQUESTS = 2;
const LEAST_SHARE = 0.03;

/**
 * Tells by the services where its requests begin whether a route is requested
 * by clients. Undefined as long as too few requests have been seen.
 */
export function isRoot(
  { callers }: CallGraph,
  route: string,
  services: number,
): boolean | undefined {
  const counts = callers.get(route);
  if (counts === undefined) return undefined;
  let total = 0;
  for (const count of counts.values()) total += count;
  if (total < LEAST_REQUESTS * ROOT_CALLERS * 2) return undefined;
  let seen = 0;
  for (const count of counts.values()) {
    if (count >= LEAST_REQUESTS && count >= LEAST_SHARE * total) seen++;
  }
  return seen >= Math.min(ROOT_CALLERS, services);
}
