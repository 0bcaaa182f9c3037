/**
 * Returns the lowest level at which the arrivals at or above it stay within a
 * rate. The classes are contiguous, so a class is cut only after all of the
 * lower ones.
 */
export function fitLevel(rates: Float64Array, rate: number): number {
  let sum = 0;
  for (let level = rates.length - 1; level >= 0; level--) {
    sum += rates[level]!;
    if (sum > rate) return level + 1;
  }
  return 0;
}
