import type { Directory } from "./directory.ts";
import { refreshOwnEntry } from "./refresh_own_entry.ts";

/**
 * Marks the own entry `leaving`, regardless of what the backend server
 * announces.
 */
export function markLeaving(directory: Directory, now: number): void {
  if (directory.phase !== "present") return;
  directory.phase = "leaving";
  refreshOwnEntry(directory, now);
}
