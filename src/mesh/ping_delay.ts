// Delay for a link with calls in flight. A broken network path reports no
// error; only an unanswered ping reveals it.
const ACTIVE_PING_DELAY_MS = 500;
// Minimum delay for an idle link.
const MIN_IDLE_PING_DELAY_MS = 2_000;
// There is a link to each daemon of the fleet. The delay grows with their
// number to keep the pings on idle links below this total rate.
const MAX_IDLE_PINGS_PER_S = 10;
const MS_PER_S = 1_000;

/** Returns the inactivity in ms after which a link is pinged. */
export function pingDelay(callCount: number, peerCount: number): number {
  if (callCount > 0) return ACTIVE_PING_DELAY_MS;
  return Math.max(
    MIN_IDLE_PING_DELAY_MS,
    peerCount * MS_PER_S / MAX_IDLE_PINGS_PER_S,
  );
}
