import type { Outcome } from "./outcome.ts";

/**
 * Returns what is known of a whole request after one more attempt.
 * An earlier unknown attempt may have run, so a later refusal cannot make the
 * whole `not-run`.
 */
export function combineOutcomes(
  earlier: Outcome | null,
  latest: Outcome,
): Outcome {
  if (earlier === null) return latest;
  if (latest.kind === "answered") return latest;
  if (earlier.kind === "answered") return earlier;
  if (earlier.kind === "unknown") return earlier;
  return latest;
}
