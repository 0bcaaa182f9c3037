import type { CallGraph } from "./call_graph.ts";

// Standard deviations that the excess must exceed; by chance alone it does so
// about once in ten thousand cases.
const MIN_DEVIATIONS = 4;
// Minimum share of the runs that end right after a reply; a smaller excess may
// come from the event timing of this process.
const MIN_SHARE = 0.15;

/**
 * Returns whether runs of `caller` make calls to `called`: a run that waits for
 * a call ends soon after its reply. Unrelated replies and ends are equally
 * likely in either order, also where this process handles many events at once,
 * so only an excess of replies before ends counts.
 */
export function makesCalls(
  { correlations }: CallGraph,
  called: string,
  caller: string,
): boolean {
  const correlation = correlations.get(called)?.get(caller);
  if (correlation === undefined) return false;
  const { ends, excess, variance } = correlation;
  return excess > MIN_DEVIATIONS * Math.sqrt(variance) &&
    excess > MIN_SHARE * ends;
}
