import type { Route } from "./route.ts";

/**
 * State of the weighted round robin among the services of a route; `credits` is
 * in the order of `parts`.
 */
export type TrafficSplit = { parts: Route["parts"]; credits: number[] };
