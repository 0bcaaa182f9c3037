import type { CallGraph } from "./call_graph.ts";

const FADE_EVERY_MS = 5_000;

/** Halves the counts of callers now and then, so that old ones fade. */
export function fadeCallers(graph: CallGraph, now: number): void {
  if (now - graph.fadedAt < FADE_EVERY_MS) return;
  graph.fadedAt = now;
  for (const counts of graph.callers.values()) {
    for (const [caller, count] of counts) counts.set(caller, count / 2);
  }
}
