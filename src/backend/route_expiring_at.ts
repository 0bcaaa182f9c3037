// Times are passed on in whole ms, and a call takes a little to get here.
const EARLIER_MS = 1.5;
const LATER_MS = 2.5;

type Run = { request: { route: string; expiresAt: number } };

/**
 * Returns the route of the running request whose expiry is closest to a steady
 * time in ms, or null where none expires then.
 */
export function routeExpiringAt(
  runs: Iterable<Run>,
  expiresAt: number,
): string | null {
  let route: string | null = null;
  let closest = Infinity;
  for (const { request } of runs) {
    const differenceMs = expiresAt - request.expiresAt;
    if (differenceMs < -EARLIER_MS || differenceMs > LATER_MS) continue;
    if (Math.abs(differenceMs) >= closest) continue;
    closest = Math.abs(differenceMs);
    route = request.route;
  }
  return route;
}
