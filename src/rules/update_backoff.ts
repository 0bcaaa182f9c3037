import type { SourceBackoffs } from "./source_backoffs.ts";

// A refused answer costs up to a whole snapshot and the check of its signatures.
const INITIAL_DELAY_MS = 5_000;
// Long enough to make the cost negligible, short enough that a source that has
// been put right is followed soon.
const MAX_DELAY_MS = 60_000;
const MAX_SOURCES = 1_000;

/** Whether the answer of a source passed the checks. */
type Verdict = { source: string; rejected: boolean };

/**
 * Doubles the time until a refused source is asked again, up to a minute. An
 * answer that passes the checks clears it.
 */
export function updateBackoff(
  backoffs: SourceBackoffs,
  { source, rejected: refused }: Verdict,
  now: number,
): void {
  const previous = backoffs.get(source);
  backoffs.delete(source);
  if (!refused) return;
  const delayMs = previous === undefined
    ? INITIAL_DELAY_MS
    : Math.min(MAX_DELAY_MS, 2 * previous.delayMs);
  backoffs.set(source, { retryAt: now + delayMs, delayMs });
  const [oldest] = backoffs.keys();
  if (backoffs.size > MAX_SOURCES && oldest !== undefined) {
    backoffs.delete(oldest);
  }
}
