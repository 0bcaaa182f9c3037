// How far the expiry of a call may be before or after that of its caller's run:
// remaining times are passed on in whole ms, and a call takes a little time to
// arrive.
const MAX_EARLIER_MS = 1.5;
const MAX_LATER_MS = 2.5;

type Run = { request: { route: string; expiresAt: number } };

/**
 * Returns the route of the running request whose expiry is closest to
 * `expiresAt`, a monotonic time in ms. Returns null if none expires near that
 * time, or if runs of several routes are equally close: a deadline that is set
 * for all runs does not identify one.
 */
export function routeExpiringAt(
  runs: Iterable<Run>,
  expiresAt: number,
): string | null {
  let route: string | null = null;
  let closest = Infinity;
  let ambiguous = false;
  for (const { request } of runs) {
    const differenceMs = expiresAt - request.expiresAt;
    if (differenceMs < -MAX_EARLIER_MS || differenceMs > MAX_LATER_MS) continue;
    const distanceMs = Math.abs(differenceMs);
    if (distanceMs > closest) continue;
    ambiguous = distanceMs === closest &&
      (ambiguous || request.route !== route);
    closest = distanceMs;
    route = request.route;
  }
  return ambiguous ? null : route;
}
