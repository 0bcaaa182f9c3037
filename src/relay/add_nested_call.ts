import type { Exchange } from "./exchange.ts";
import type { Parent } from "./parent.ts";

/** Adds a nested call that its parent now waits for. */
export function addNestedCall(
  parent: Parent,
  child: Exchange,
  now: number,
): void {
  if (parent.children.size === 0) parent.waitingSince = now;
  parent.children.add(child);
}
