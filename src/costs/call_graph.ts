import type { ServiceCost } from "../calls/service_cost.ts";

/**
 * Call statistics of the local backend server, from which the calls of its runs
 * and the cost of a request are derived. Counts decay, so that recent traffic
 * dominates.
 */
export type CallGraph = {
  service: string;
  /** Runs started at the local backend server, by route. */
  runs: Map<string, number>;
  /**
   * Moving average of the share of a run that repeats earlier work, 0 to 1, by
   * route.
   */
  repeatedShares: Map<string, number>;
  /** Calls that the local backend server made, by the route called. */
  calls: Map<string, Calls>;
  /** Replies that precede run ends, by the route called and that of the run. */
  correlations: Map<string, Map<string, Correlation>>;
  /** Replies to calls and ends of runs in the last few ms, oldest first. */
  recentReplies: RouteEvent[];
  recentEnds: RouteEvent[];
  /** Mean time that a run holds a slot of the local server, by route, in ms. */
  slotMs: Map<string, number>;
  /** Cost of one call as the daemon of its callee reported it, by route. */
  calleeCosts: Map<string, readonly ServiceCost[]>;
  /** Requests received, by route and service of the VM that they came from. */
  callers: Map<string, Map<string, number>>;
  /** Whether clients send the requests of a route, as its daemons report. */
  roots: Map<string, boolean>;
  /** Steady time at which the counts were last halved, in ms. */
  decayedAt: number;
};

type Calls = {
  total: number;
  /**
   * Sampled calls by the route of a running request: `matched` have its
   * deadline, `byChance` estimates how many do so without being made by it.
   */
  byCaller: Map<string, { matched: number; byChance: number }>;
};

/** Correlation of replies to calls with ends of runs shortly after them. */
type Correlation = {
  ends: number;
  /** Replies shortly before ends of runs less those shortly after them. */
  excess: number;
  /** Variance of the excess if replies and ends are independent. */
  variance: number;
};

/** Reply to a call of a route, or end of its run, at a steady time in ms. */
type RouteEvent = { route: string; at: number };
