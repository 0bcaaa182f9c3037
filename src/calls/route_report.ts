import type { ServiceCost } from "./service_cost.ts";

/** What the daemon beside a server has learned about a route. */
export type RouteReport = {
  /** Slot time of one request over its whole call graph. */
  costs: readonly ServiceCost[];
  /**
   * Whether clients send the requests; if not, servers make them while they
   * run others.
   */
  root: boolean;
};
