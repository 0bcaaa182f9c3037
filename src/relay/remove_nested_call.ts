import type { Exchange } from "./exchange.ts";
import type { Parent } from "./parent.ts";

/**
 * Removes a nested call that has ended. Time in which several nested calls
 * overlap is added to `nestedMs` only once.
 */
export function removeNestedCall(
  parent: Parent,
  child: Exchange,
  now: number,
): void {
  if (!parent.children.delete(child) || parent.children.size > 0) return;
  parent.nestedMs += now - parent.waitingSince;
}
