import type { CallGraph } from "./call_graph.ts";

const DECAY_INTERVAL_MS = 5_000;
// Which routes make calls changes only with the software of the servers, so a
// correlation decays only once it covers this many runs.
const MIN_ENDS_TO_DECAY = 1_000;

/** Halves all counts periodically, so that recent traffic dominates. */
export function decayCounts(graph: CallGraph, now: number): void {
  if (now - graph.decayedAt < DECAY_INTERVAL_MS) return;
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
  for (const byCaller of graph.correlations.values()) {
    for (const correlation of byCaller.values()) {
      if (correlation.ends < MIN_ENDS_TO_DECAY) continue;
      correlation.ends /= 2;
      correlation.excess /= 2;
      correlation.variance /= 4;
    }
  }
}

function halve(counts: Map<string, number>): void {
  for (const [name, count] of counts) counts.set(name, count / 2);
}
