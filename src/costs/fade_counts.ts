import type { CallGraph } from "./call_graph.ts";

const FADE_EVERY_MS = 5_000;

/** Halves all counts now and then, so that old ones fade. */
export function fadeCounts(graph: CallGraph, now: number): void {
  if (now - graph.fadedAt < FADE_EVERY_MS) return;
  graph.fadedAt = now;
  halve(graph.runs);
  for (const counts of graph.callers.values()) halve(counts);
  for (const calls of graph.calls.values()) {
    calls.total /= 2;
    halve(calls.byCaller);
  }
}

function halve(counts: Map<string, number>): void {
  for (const [name, count] of counts) counts.set(name, count / 2);
}
