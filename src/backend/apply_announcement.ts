import type { Announcement } from "./announcement.ts";
import type { Registration } from "./registration.ts";
import { UNKNOWN_START } from "./unknown_start.ts";

/**
 * Applies a heartbeat. Heartbeats can arrive late: one from an earlier start,
 * with an earlier sequence number, or of a server that has signed off changes
 * nothing, and a server that is leaving stays so until it restarts.
 */
export function applyAnnouncement(
  current: Registration | null,
  announcement: Announcement,
  now: number,
): Registration {
  const { id, startedAt, sequence, slots, leaving, coldMs } = announcement;
  const next = {
    id,
    startedAt,
    sequence,
    slots,
    leaving,
    departed: false,
    coldUntil: now + coldMs,
    heardAt: now,
  };
  if (current === null) return next;
  // The departure did not report a start time; the heartbeat supplies it.
  if (
    current.departed && current.id === id &&
    current.startedAt === UNKNOWN_START
  ) return { ...current, startedAt };
  if (startedAt > current.startedAt) return next;
  if (startedAt < current.startedAt || id !== current.id) return current;
  if (current.departed || sequence <= current.sequence) return current;
  return { ...next, leaving: leaving || current.leaving };
}
