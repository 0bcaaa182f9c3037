import type { CallGraph } from "./call_graph.ts";
import { knownCallers } from "./known_callers.ts";

// A route with a smaller share of the calls that match a running request by
// deadline has matched them by chance.
const MIN_SHARE = 0.25;
// Standard deviations by which matches must exceed those expected by chance.
const MIN_DEVIATIONS = 4;

/**
 * Returns the mean number of calls to `called` that one run of `route` makes.
 * The calls are divided among the routes that make any, in proportion to the
 * deadline matches of each or, without such matches, to its runs.
 */
export function callsPerRun(
  graph: CallGraph,
  called: string,
  route: string,
): number {
  const { calls, runs } = graph;
  const stats = calls.get(called);
  const routeRuns = runs.get(route) ?? 0;
  if (stats === undefined || routeRuns === 0) return 0;
  const matches = matchesOf(stats.byCaller);
  const known = knownCallers(graph, called);
  const matched = matches.size > 0 &&
    known.every((caller) => matches.has(caller));
  const shares = matched ? matches : runs;
  const minShare = matched ? MIN_SHARE * sum(matches.values()) : 0;
  // Until run ends show which routes wait for calls, any route may be a caller.
  const callers = known.length > 0
    ? known
    : [...shares.keys()].filter((caller) => shares.get(caller)! >= minShare);
  if (!callers.includes(route)) return 0;
  const shareSum = sum(callers.map((caller) => shares.get(caller)!));
  return shareSum === 0
    ? 0
    : stats.total * (shares.get(route)! / shareSum) / routeRuns;
}

/** Calls that match runs by deadline, by route, less chance matches. */
function matchesOf(
  byCaller: ReadonlyMap<string, { matched: number; byChance: number }>,
): Map<string, number> {
  const matches = new Map<string, number>();
  for (const [caller, { matched, byChance }] of byCaller) {
    const excess = matched - byChance;
    if (excess > MIN_DEVIATIONS * Math.sqrt(matched + byChance)) {
      matches.set(caller, excess);
    }
  }
  return matches;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
