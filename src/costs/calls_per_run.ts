import type { CallGraph } from "./call_graph.ts";

// Requests expire together by chance as well; a route with a smaller share of
// the calls that have a caller makes none.
const LEAST_SHARE = 0.25;

/**
 * Returns how many calls of a route one run of another makes, on the mean. The
 * calls without a known caller are shared out like those that have one, or by
 * the runs of all routes where none has.
 */
export function callsPerRun(
  { calls, runs }: CallGraph,
  called: string,
  route: string,
): number {
  const made = calls.get(called);
  const started = runs.get(route) ?? 0;
  if (made === undefined || started === 0) return 0;
  const shares = made.byCaller.size > 0 ? made.byCaller : runs;
  const all = sum(shares.values());
  const least = made.byCaller.size > 0 ? LEAST_SHARE * all : 0;
  const own = shares.get(route) ?? 0;
  if (own < least) return 0;
  const counted = sum([...shares.values()].filter((count) => count >= least));
  return made.total * (own / counted) / started;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
