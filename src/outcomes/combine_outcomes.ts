import type { Outcome } from "./outcome.ts";

/**
 * Returns the outcome of a request after a further attempt. An earlier attempt
 * with an unknown outcome may have run, so a later rejection does not make the
 * request `not-run`.
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
