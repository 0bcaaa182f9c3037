import type { Directory } from "./directory.ts";
import { refreshOwnEntry } from "./refresh_own_entry.ts";

/** Marks the own entry `gone`, as the last step of a planned shutdown. */
export function markGone(directory: Directory, now: number): void {
  directory.phase = "gone";
  refreshOwnEntry(directory, now);
}
