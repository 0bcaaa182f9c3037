import type { ServiceCost } from "../calls/service_cost.ts";

/**
 * What the backend server's requests lead to, learned from counts that fade.
 */
export type CallGraph = {
  service: string;
  /** Runs started at the own server, by route. */
  runs: Map<string, number>;
  /** Share of the recent runs that were repeats, by route. */
  repeatedShares: Map<string, number>;
  /** Calls that the own server made, by the route called. */
  calls: Map<string, Calls>;
  /** Which routes make the calls, by the route called and the calling one. */
  correlations: Map<string, Map<string, Correlation>>;
  /** What happened in the last few ms. */
  recentReplies: RouteEvent[];
  recentEnds: RouteEvent[];
  /** Mean slot time of one run at the own server, by route, in ms. */
  slotMs: Map<string, number>;
  /** Cost of one call as its callee reported it, by route. */
  calleeCosts: Map<string, readonly ServiceCost[]>;
  /** Requests received, by route and by the service where they began. */
  callers: Map<string, Map<string, number>>;
  /** Whether clients send the requests of a route, as its servers report. */
  roots: Map<string, boolean>;
  /** Steady time at which the counts were halved, in ms. */
  decayedAt: number;
};

type Calls = {
  total: number;
  /** Matched calls that expire together with a running request, by its route. */
  byCaller: Map<string, { matched: number; byChance: number }>;
};

/** Replies to calls that came shortly before or after ends of runs. */
type Correlation = {
  ends: number;
  /** Replies before the ends less those after them. */
  excess: number;
  /** Variance of the excess where replies and ends come independently. */
  variance: number;
};

/** Something that happened to a request of a route, at a steady time in ms. */
type RouteEvent = { route: string; at: number };
