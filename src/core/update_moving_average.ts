// Corresponds to an average over about the last 20 values of a key.
const LATEST_WEIGHT = 0.05;

/** Updates the exponentially weighted moving average of a key. */
export function updateMovingAverage(
  averages: Map<string, number>,
  key: string,
  value: number,
): void {
  const average = averages.get(key);
  averages.set(
    key,
    average === undefined ? value : average + LATEST_WEIGHT * (value - average),
  );
}
