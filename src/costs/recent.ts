// A run that waits for its last call ends this soon after the reply to it.
const RECENT_MS = 3;

/** Returns the moments of the last few ms; they are in order of time. */
export function recent<Moment extends { at: number }>(
  moments: Moment[],
  now: number,
): Moment[] {
  let old = 0;
  while (old < moments.length && now - moments[old]!.at > RECENT_MS) old++;
  return old === 0 ? moments : moments.slice(old);
}
