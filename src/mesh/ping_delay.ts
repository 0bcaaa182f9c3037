// A link with calls and without news is asked this soon whether it still
// carries bytes: a cut shows only by silence.
const PING_AFTER_MS = 500;
// The same for a link without calls.
const PING_IDLE_AFTER_MS = 2_000;
// There is a link to each daemon of the fleet; all idle ones together cost at
// most this many pings a second.
const IDLE_PINGS_PER_S = 10;
const MS_PER_S = 1_000;

/** Returns how long a link may be without news before it is pinged, in ms. */
export function pingDelay(calls: number, peers: number): number {
  if (calls > 0) return PING_AFTER_MS;
  return Math.max(PING_IDLE_AFTER_MS, peers * MS_PER_S / IDLE_PINGS_PER_S);
}
