import type { CallGraph } from "./call_graph.ts";

// Clients run on the VMs of all services, while nested calls come from the one
// or two services whose backend servers make them.
const MIN_ROOT_CALLERS = 3;
// A caller with fewer requests, or a smaller share of them, may be an outlier.
const MIN_REQUESTS = 2;
const MIN_SHARE = 0.03;

/**
 * Returns whether clients send the requests of a route, judged by how many of
 * the services they come from. Undefined until enough requests have been seen.
 */
export function isRoot(
  { callers }: CallGraph,
  route: string,
  serviceCount: number,
): boolean | undefined {
  const counts = callers.get(route);
  if (counts === undefined) return undefined;
  let total = 0;
  for (const count of counts.values()) total += count;
  if (total < MIN_REQUESTS * MIN_ROOT_CALLERS * 2) return undefined;
  let significant = 0;
  for (const count of counts.values()) {
    if (count >= MIN_REQUESTS && count >= MIN_SHARE * total) significant++;
  }
  return significant >= Math.min(MIN_ROOT_CALLERS, serviceCount);
}
