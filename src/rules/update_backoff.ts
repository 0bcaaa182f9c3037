import type { SourceBackoffs } from "./source_backoffs.ts";

// Each attempt at a source whose rules are rejected can cost the transfer of a
// whole snapshot and the verification of its signatures.
const INITIAL_DELAY_MS = 5_000;
// Long enough to make that cost negligible, short enough that rules are soon
// read again from a repaired source.
const MAX_DELAY_MS = 60_000;
const MAX_SOURCES = 1_000;

/** Whether the rules of a source were rejected by the checks. */
type CheckResult = { source: string; rejected: boolean };

/**
 * Doubles the delay before a source whose rules were rejected is asked again,
 * up to a minute. Rules that pass the checks clear the backoff.
 */
export function updateBackoff(
  backoffs: SourceBackoffs,
  { source, rejected }: CheckResult,
  now: number,
): void {
  const previous = backoffs.get(source);
  backoffs.delete(source);
  if (!rejected) return;
  const delayMs = previous === undefined
    ? INITIAL_DELAY_MS
    : Math.min(MAX_DELAY_MS, 2 * previous.delayMs);
  backoffs.set(source, { retryAt: now + delayMs, delayMs });
  const [oldest] = backoffs.keys();
  if (backoffs.size > MAX_SOURCES && oldest !== undefined) {
    backoffs.delete(oldest);
  }
}
