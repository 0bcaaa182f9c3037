import type { CallGraph } from "./call_graph.ts";

/** Creates a call graph without any statistics. */
export function createCallGraph(service: string, now: number): CallGraph {
  return {
    service,
    runs: new Map(),
    repeatedShares: new Map(),
    calls: new Map(),
    correlations: new Map(),
    recentReplies: [],
    recentEnds: [],
    slotMs: new Map(),
    calleeCosts: new Map(),
    callers: new Map(),
    roots: new Map(),
    decayedAt: now,
  };
}
