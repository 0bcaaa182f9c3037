import type { Admission } from "./admission.ts";

/**
 * Sets the weights of departments inside a class, scaled so that the smallest
 * is 1. They apply to a department once its queue has been empty.
 */
export function setWeights(
  admission: Admission,
  weights: ReadonlyMap<string, number>,
): void {
  const least = Math.min(1, ...weights.values());
  admission.queue.weights = new Map(
    [...weights].map(([name, weight]) => [name, Math.max(1, weight / least)]),
  );
}
