import type { CallGraph } from "./call_graph.ts";

/**
 * Counts a call that the local backend server makes. `match` is null for a call
 * that was not sampled. Otherwise `matched` is the route of a running request
 * that expires at the same time and may have made the call: a nested call
 * expires with its caller or earlier. `byChance` is the route of an unrelated
 * request, from which the number of chance matches is estimated.
 */
export function recordCall(
  { calls }: CallGraph,
  route: string,
  match: { matched: string | null; byChance: string | null } | null,
): void {
  let stats = calls.get(route);
  if (stats === undefined) {
    stats = { total: 0, byCaller: new Map() };
    calls.set(route, stats);
  }
  stats.total++;
  if (match === null) return;
  const { byCaller } = stats;
  const count = (caller: string, kind: "matched" | "byChance") => {
    const counts = byCaller.get(caller) ?? { matched: 0, byChance: 0 };
    counts[kind]++;
    byCaller.set(caller, counts);
  };
  if (match.matched !== null) count(match.matched, "matched");
  if (match.byChance !== null) count(match.byChance, "byChance");
}
