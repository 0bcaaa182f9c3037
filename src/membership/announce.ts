import type { Announcement } from "./announcement.ts";
import type { Directory } from "./directory.ts";
import { refreshOwn } from "./refresh_own.ts";

/** Takes a heartbeat of the own backend server; null when it has departed. */
export function announce(
  directory: Directory,
  announcement: Announcement | null,
  now: number,
): void {
  directory.announcement = announcement;
  directory.heartbeatAt = now;
  refreshOwn(directory, now);
}
