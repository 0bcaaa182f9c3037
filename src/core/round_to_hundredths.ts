/** Rounds a number for a log line. */
export function roundToHundredths(value: number): number {
  return Math.round(100 * value) / 100;
}
