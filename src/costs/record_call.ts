import type { CallGraph } from "./call_graph.ts";

/**
 * Counts a call that the local backend server makes. `match` is null where the
 * call wasn't sampled. Else `matched` is the route of a running request that
 * expires together with the call, as its caller may: a nested call expires with
 * its caller, or sooner. `byChance` is the route of an unrelated request, which
 * estimates how many match by chance.
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
