import type { Refusals } from "./refusals.ts";

// A refused answer costs up to a whole snapshot and the check of its signatures.
const FIRST_DELAY_MS = 5_000;
// Long enough to make the cost negligible, short enough that a source that has
// been put right is followed soon.
const MAX_DELAY_MS = 60_000;
const MAX_SOURCES = 1_000;

/** Whether the answer of a source passed the checks. */
type Answer = { source: string; refused: boolean };

/**
 * Doubles the time until a refused source is asked again, up to a minute. An
 * answer that passes the checks clears it.
 */
export function noteAnswer(
  refusals: Refusals,
  { source, refused }: Answer,
  now: number,
): void {
  const before = refusals.get(source);
  refusals.delete(source);
  if (!refused) return;
  const delayMs = before === undefined
    ? FIRST_DELAY_MS
    : Math.min(MAX_DELAY_MS, 2 * before.delayMs);
  refusals.set(source, { until: now + delayMs, delayMs });
  const [oldest] = refusals.keys();
  if (refusals.size > MAX_SOURCES && oldest !== undefined) {
    refusals.delete(oldest);
  }
}
