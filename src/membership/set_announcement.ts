import type { Announcement } from "./announcement.ts";
import type { Directory } from "./directory.ts";
import { refreshOwnEntry } from "./refresh_own_entry.ts";

/**
 * Applies a heartbeat of the own backend server; null once the server has
 * departed or its heartbeats have stopped.
 */
export function setAnnouncement(
  directory: Directory,
  announcement: Announcement | null,
  now: number,
): void {
  directory.announcement = announcement;
  directory.heartbeatAt = now;
  refreshOwnEntry(directory, now);
}
