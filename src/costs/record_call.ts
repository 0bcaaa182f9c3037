import type { CallGraph } from "./call_graph.ts";

/**
 * Counts a call that the own server makes. `match` holds the routes of the
 * running requests that expire together with the call, and of those that do so
 * by chance: a nested call expires with its caller, or sooner.
 */
export function recordCall(
  { calls }: CallGraph,
  route: string,
  match: { matched: string | null; byChance: string | null } | null,
): void {
  let made = calls.get(route);
  if (made === undefined) {
    made = { total: 0, byCaller: new Map() };
    calls.set(route, made);
  }
  made.total++;
  if (match === null) return;
  const { byCaller } = made;
  const count = (caller: string, kind: "matched" | "byChance") => {
    const counts = byCaller.get(caller) ?? { matched: 0, byChance: 0 };
    counts[kind]++;
    byCaller.set(caller, counts);
  };
  if (match.matched !== null) count(match.matched, "matched");
  if (match.byChance !== null) count(match.byChance, "byChance");
}
