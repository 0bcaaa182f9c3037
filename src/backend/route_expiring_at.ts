// Times are passed on in whole ms, and a call takes a little to get here.
const EARLIER_MS = 1.5;
const LATER_MS = 2.5;

type Run = { request: { route: string; expiresAt: number } };

/**
 * Returns the route of the running request whose expiry is closest to a steady
 * time in ms, or null where none expires then, or several routes alike: a limit
 * on all runs tells nothing of one.
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
    if (differenceMs < -EARLIER_MS || differenceMs > LATER_MS) continue;
    const distanceMs = Math.abs(differenceMs);
    if (distanceMs > closest) continue;
    ambiguous = distanceMs === closest &&
      (ambiguous || request.route !== route);
    closest = distanceMs;
    route = request.route;
  }
  return ambiguous ? null : route;
}
