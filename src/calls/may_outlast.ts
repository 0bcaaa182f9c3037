// Runs vary around their mean; few take longer than this many times as long.
const LONGEST_RUN = 1.5;

/**
 * Whether a run that starts now may not end by `endsAt`. Times are steady ms;
 * `runMs` is the mean run time.
 */
export function mayOutlast(
  now: number,
  runMs: number,
  endsAt: number,
): boolean {
  return now + LONGEST_RUN * runMs > endsAt;
}
