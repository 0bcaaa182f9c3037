import type { CallGraph } from "./call_graph.ts";

/**
 * Counts a call that the own server makes. `caller` is the route of the running
 * request that expires together with the call, null where there is none: a
 * nested call expires with its caller, or sooner.
 */
export function noteCall(
  { calls }: CallGraph,
  route: string,
  caller: string | null,
): void {
  let made = calls.get(route);
  if (made === undefined) {
    made = { total: 0, byCaller: new Map() };
    calls.set(route, made);
  }
  made.total++;
  if (caller === null) return;
  made.byCaller.set(caller, (made.byCaller.get(caller) ?? 0) + 1);
}
