/** Rounds a number to two decimal places, for log lines. */
export function roundToHundredths(value: number): number {
  return Math.round(100 * value) / 100;
}
