import type { ServiceCost } from "../calls/service_cost.ts";

/**
 * What the backend server's requests lead to, learned from counts: nothing on
 * the wire tells which request a nested call belongs to.
 */
export type CallGraph = {
  service: string;
  /** Runs started and calls made since the window began, by route. */
  runs: Map<string, number>;
  calls: Map<string, number>;
  /** Nested calls for each run: by route called, then by route run. */
  ratios: Map<string, Map<string, number>>;
  /** Mean slot time of one run at the own server, by route, in ms. */
  slotMs: Map<string, number>;
  /** Cost of one call as its callee reported it, by route. */
  callees: Map<string, readonly ServiceCost[]>;
  /** Requests received, by route and by the service where they began. */
  callers: Map<string, Map<string, number>>;
  /** Whether clients send the requests of a route, as its servers report. */
  roots: Map<string, boolean>;
  /** Windows with calls so far. */
  windows: number;
  /** Steady time at which the window began, in ms. */
  windowStartedAt: number;
  /** Steady time at which the counts of callers were halved, in ms. */
  fadedAt: number;
};
