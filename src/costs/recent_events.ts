// A run that waits for its last call ends this soon after the reply to it.
const RECENT_MS = 3;

/** Returns the events of the last few ms out of a list in order of time. */
export function recentEvents<Event extends { at: number }>(
  events: Event[],
  now: number,
): Event[] {
  let old = 0;
  while (old < events.length && now - events[old]!.at > RECENT_MS) old++;
  return old === 0 ? events : events.slice(old);
}
