import type { Route } from "./route.ts";

/** Routes by host, the longest prefix first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;
