// Nested calls weigh as much as the most important client requests: if one
// fails, the work of its caller is lost.
const NESTED_WEIGHT = 4;
const ROOT_WEIGHTS = [4, 2, 1];

/**
 * Returns the fair-queueing weight of a flow; `rank` is that of its route, 0
 * the highest.
 */
export function flowWeight(nested: boolean, rank: number): number {
  if (nested) return NESTED_WEIGHT;
  return ROOT_WEIGHTS[Math.min(rank, ROOT_WEIGHTS.length - 1)]!;
}
