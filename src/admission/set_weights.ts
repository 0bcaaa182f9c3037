import type { Admission } from "./admission.ts";

/**
 * Sets the weights of departments within a class, scaled so that all are at
 * least 1. A weight takes effect when the department's queue is next created,
 * that is, after it was empty.
 */
export function setWeights(
  admission: Admission,
  weights: ReadonlyMap<string, number>,
): void {
  const min = Math.min(1, ...weights.values());
  admission.queue.weights = new Map(
    [...weights].map(([name, weight]) => [name, Math.max(1, weight / min)]),
  );
}
