/**
 * Returns the lowest level for which the arrivals at or above it do not exceed
 * `rate`. The classes are contiguous ranges of priorities, so a class is only
 * shed after all lower ones.
 */
export function fitLevel(rates: Float64Array, rate: number): number {
  let sum = 0;
  for (let level = rates.length - 1; level >= 0; level--) {
    sum += rates[level]!;
    if (sum > rate) return level + 1;
  }
  return 0;
}
