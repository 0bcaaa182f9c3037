// Weight of the newest value, about the last 20 values of a key.
const NEWEST_WEIGHT = 0.05;

/** Takes a value into the moving mean of its key. */
export function updateMovingAverage(
  means: Map<string, number>,
  key: string,
  value: number,
): void {
  const mean = means.get(key);
  means.set(
    key,
    mean === undefined ? value : mean + NEWEST_WEIGHT * (value - mean),
  );
}
