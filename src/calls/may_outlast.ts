// Run times vary around their mean; few exceed it by more than this factor.
const RUN_TIME_MARGIN = 1.5;

/**
 * Whether a run that starts now may last beyond `endsAt`. `now` and `endsAt`
 * are in ms of the monotonic clock; `runMs` is the mean run time.
 */
export function mayOutlast(
  now: number,
  runMs: number,
  endsAt: number,
): boolean {
  return now + RUN_TIME_MARGIN * runMs > endsAt;
}
