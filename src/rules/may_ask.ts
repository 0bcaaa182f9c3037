import type { Refusals } from "./refusals.ts";

/** Returns whether a source may be asked for rules now. */
export function mayAsk(
  refusals: Refusals,
  source: string,
  now: number,
): boolean {
  return now >= (refusals.get(source)?.until ?? -Infinity);
}
