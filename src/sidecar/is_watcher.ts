// Two, so that one remains when the other fails.
const WATCHERS_PER_DATA_CENTRE = 2;

type Daemon = { name: string; storeReachable: boolean };

/**
 * Whether a daemon watches the platform's store on behalf of its data centre.
 * Of the daemons that can reach the store, the first ones in order of name are
 * watchers. All daemons know the same names, so they agree without
 * coordination. A daemon that can't reach the store keeps trying on its own.
 */
export function isWatcher(
  self: Daemon,
  neighbours: Iterable<Daemon>,
): boolean {
  if (!self.storeReachable) return true;
  let reachableBefore = 0;
  for (const { name, storeReachable } of neighbours) {
    if (storeReachable && name < self.name) reachableBefore++;
  }
  return reachableBefore < WATCHERS_PER_DATA_CENTRE;
}
