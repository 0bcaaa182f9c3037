import type { Directory } from "./directory.ts";
import { refreshOwn } from "./refresh_own.ts";

/** Marks the own entry `leaving`, whatever the backend server announces. */
export function leave(directory: Directory, now: number): void {
  if (directory.phase !== "present") return;
  directory.phase = "leaving";
  refreshOwn(directory, now);
}
