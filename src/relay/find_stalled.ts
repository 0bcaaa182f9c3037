import type { RemoteAttempt } from "./remote_attempt.ts";

/** Attempts asked about with one probe; bounds the length of its path. */
const MAX_PER_PROBE = 50;

/** Returns the attempts without progress, by the daemon to ask about them. */
export function findStalled(
  remotes: Iterable<RemoteAttempt>,
  now: number,
): Map<string, RemoteAttempt[]> {
  const stalled = new Map<string, RemoteAttempt[]>();
  for (const remote of remotes) {
    if (remote.paused || remote.probing) continue;
    if (now - remote.progressAt < remote.stallTimeoutMs) continue;
    const same = stalled.get(remote.address) ?? [];
    if (same.length < MAX_PER_PROBE) same.push(remote);
    stalled.set(remote.address, same);
  }
  return stalled;
}
