import type { CallGraph } from "./call_graph.ts";

// Standard deviations that the excess must exceed; chance alone gets there once
// in some ten thousand times.
const LEAST_DEVIATIONS = 4;
// Share of the runs that end on the reply to a call; below it, what is seen
// says more about the timing of this process than about the runs.
const LEAST_SHARE = 0.15;

/**
 * Tells whether the runs of a route make calls to another: a run that waits for
 * a call ends soon after its reply. Replies and ends that have nothing to do
 * with each other come in either order alike, also where this process handles
 * many at once, so only an excess of replies before ends counts.
 */
export function makesCalls(
  { correlations: evidence }: CallGraph,
  called: string,
  caller: string,
): boolean {
  const found = evidence.get(called)?.get(caller);
  if (found === undefined) return false;
  const { ends, excess, variance } = found;
  return excess > LEAST_DEVIATIONS * Math.sqrt(variance) &&
    excess > LEAST_SHARE * ends;
}
