/** Returns the median and the 99th percentile of durations in ms as text. */
export function quantiles(durations: number[]): string {
  const sorted = [...durations].sort((left, right) => left - right);
  const at = (share: number) =>
    sorted[Math.floor(share * (sorted.length - 1))]!.toFixed(4);
  return `p50=${at(0.5)}ms p99=${at(0.99)}ms`;
}
