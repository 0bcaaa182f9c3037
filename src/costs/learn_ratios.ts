import type { CallGraph } from "./call_graph.ts";

const WINDOW_MS = 250;
// Share of the error that one window corrects; the first ones correct more.
const STEP = 0.15;
// Keeps windows with few runs from deciding much.
const DAMPING = 9;

/**
 * At the end of each window, moves the ratios towards what explains its calls:
 * normalized least mean squares, with ratios that can't be negative. Routes
 * whose rates vary apart are told apart.
 */
export function learnRatios(graph: CallGraph, now: number): void {
  if (now - graph.windowStartedAt < WINDOW_MS) return;
  graph.windowStartedAt = now;
  if (graph.calls.size > 0) graph.windows++;
  const step = Math.max(STEP, 1 / (graph.windows + 1));
  const { runs, calls, ratios } = graph;
  let power = DAMPING;
  for (const count of runs.values()) power += count * count;
  for (const called of calls.keys()) {
    if (!ratios.has(called)) ratios.set(called, new Map());
  }
  for (const [called, byRoute] of ratios) {
    let error = calls.get(called) ?? 0;
    for (const [route, count] of runs) {
      error -= (byRoute.get(route) ?? 0) * count;
    }
    for (const [route, count] of runs) {
      const ratio = (byRoute.get(route) ?? 0) + step * error * count / power;
      byRoute.set(route, Math.max(0, ratio));
    }
  }
  runs.clear();
  calls.clear();
}
