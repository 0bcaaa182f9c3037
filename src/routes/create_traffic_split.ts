import type { Random } from "../core/random.ts";
import type { Route } from "./route.ts";
import type { TrafficSplit } from "./traffic_split.ts";

/**
 * Creates the split of a route, at a random point of its cycle, so that daemons
 * that start together don't send their first requests to the same service.
 */
export function createTrafficSplit(route: Route, random: Random): TrafficSplit {
  const total = route.parts.reduce((sum, { weight }) => sum + weight, 0);
  return {
    parts: route.parts,
    credits: route.parts.map(() => random() * total),
  };
}
