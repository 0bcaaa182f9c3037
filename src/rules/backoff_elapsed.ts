import type { SourceBackoffs } from "./source_backoffs.ts";

/**
 * Returns whether a source may be asked for rules: it has no backoff, or its
 * backoff has ended.
 */
export function backoffElapsed(
  backoffs: SourceBackoffs,
  source: string,
  now: number,
): boolean {
  return now >= (backoffs.get(source)?.retryAt ?? -Infinity);
}
