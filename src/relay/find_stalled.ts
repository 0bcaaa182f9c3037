import type { RemoteAttempt } from "./remote_attempt.ts";

/**
 * Maximum number of attempts in one probe, which limits the length of its
 * request path.
 */
const MAX_PER_PROBE = 50;

/**
 * Returns the attempts without progress, by the address of their daemon. Those
 * that wait for a connection are left out: the daemon doesn't know them yet.
 */
export function findStalled(
  remotes: Iterable<RemoteAttempt>,
  now: number,
): Map<string, RemoteAttempt[]> {
  const stalled = new Map<string, RemoteAttempt[]>();
  for (const remote of remotes) {
    if (!remote.sent || remote.paused || remote.probing) continue;
    if (now - remote.progressAt < remote.stallTimeoutMs) continue;
    const group = stalled.get(remote.address) ?? [];
    if (group.length < MAX_PER_PROBE) group.push(remote);
    stalled.set(remote.address, group);
  }
  return stalled;
}
