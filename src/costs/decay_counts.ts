import type { CallGraph } from "./call_graph.ts";

const FADE_EVERY_MS = 5_000;
// Which routes make calls changes with the servers' software only, so what was
// seen of this many runs is kept.
const KEPT_ENDS = 1_000;

/** Halves all counts now and then, so that old ones fade. */
export function decayCounts(graph: CallGraph, now: number): void {
  if (now - graph.decayedAt < FADE_EVERY_MS) return;
  graph.decayedAt = now;
  halve(graph.runs);
  for (const counts of graph.callers.values()) halve(counts);
  for (const calls of graph.calls.values()) {
    calls.total /= 2;
    for (const counts of calls.byCaller.values()) {
      counts.matched /= 2;
      counts.byChance /= 2;
    }
  }
  for (const ofCalled of graph.correlations.values()) {
    for (const found of ofCalled.values()) {
      if (found.ends < KEPT_ENDS) continue;
      found.ends /= 2;
      found.excess /= 2;
      found.variance /= 4;
    }
  }
}

function halve(counts: Map<string, number>): void {
  for (const [name, count] of counts) counts.set(name, count / 2);
}
