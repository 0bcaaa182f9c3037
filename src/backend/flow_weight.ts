// Nested calls count as the most important roots: the work of their callers is
// lost when they fail.
const NESTED_WEIGHT = 4;
const ROOT_WEIGHTS = [4, 2, 1];

/** Returns the weight of a flow by the rank of its route, 0 the highest. */
export function flowWeight(nested: boolean, rank: number): number {
  if (nested) return NESTED_WEIGHT;
  return ROOT_WEIGHTS[Math.min(rank, ROOT_WEIGHTS.length - 1)]!;
}
