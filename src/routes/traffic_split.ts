import type { Route } from "./route.ts";

/** Credit of each part of a route, in the order of its parts. */
export type TrafficSplit = { parts: Route["parts"]; credits: number[] };
