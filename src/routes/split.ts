import type { Route } from "./route.ts";

/** Credit of each part of a route, in the order of its parts. */
export type Split = { parts: Route["parts"]; credits: number[] };
