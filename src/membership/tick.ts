import { raiseVerdict } from "./raise_verdict.ts";
import { setAnnouncement } from "./set_announcement.ts";
import type { Directory } from "./directory.ts";
import { dropMember } from "./drop_member.ts";
import { TOMBSTONE_MS } from "./tombstone_ms.ts";

/**
 * A backend server that sends no heartbeat for this time counts as departed.
 */
const HEARTBEAT_TIMEOUT_MS = 3_000;
/** A longer gap between ticks means that this process was paused. */
const PROCESS_PAUSE_MS = 2_000;
/**
 * Entries that could not be compared with those of others for this long are
 * discarded: other daemons are about to drop the tombstones that would
 * supersede them.
 */
const RETENTION_MS = TOMBSTONE_MS / 2;

/** Checks the timeouts of the directory; call it about once a second. */
export function tick(directory: Directory, now: number): void {
  extendAfterPause(directory, now);
  const silentMs = now - directory.heartbeatAt;
  if (directory.announcement !== null && silentMs > HEARTBEAT_TIMEOUT_MS) {
    setAnnouncement(directory, null, now);
  }
  for (const [address, deadline] of directory.suspicionDeadlines) {
    if (deadline > now) continue;
    directory.suspicionDeadlines.delete(address);
    raiseVerdict(directory, { address, verdict: 2 }, now);
  }
  for (const [address, since] of directory.tombstones) {
    if (now - since < TOMBSTONE_MS) break;
    if (address === directory.identity.address) continue;
    dropMember(directory, address, now);
  }
  discardStale(directory, now);
}

/**
 * Extends deadlines by the length of a pause of this process: heartbeats and
 * refutations that it missed may still be queued.
 */
function extendAfterPause(directory: Directory, now: number): void {
  const gapMs = now - directory.tickedAt;
  directory.tickedAt = now;
  if (gapMs <= PROCESS_PAUSE_MS) return;
  directory.heartbeatAt += gapMs;
  for (const [address, deadline] of directory.suspicionDeadlines) {
    directory.suspicionDeadlines.set(address, deadline + gapMs);
  }
}

function discardStale(directory: Directory, now: number): void {
  const isolated = now - directory.contactAt >= RETENTION_MS;
  const stale = [...directory.unreachable]
    .filter(([, since]) => now - since >= RETENTION_MS)
    .map(([dataCentre]) => dataCentre);
  if (!isolated && stale.length === 0) return;
  for (const [address, { entry }] of directory.members) {
    if (address === directory.identity.address) continue;
    if (isolated || stale.includes(entry.dataCentre)) {
      dropMember(directory, address, now);
    }
  }
  for (const dataCentre of stale) directory.unreachable.delete(dataCentre);
  directory.contactAt = now;
}
