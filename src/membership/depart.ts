import type { Directory } from "./directory.ts";
import { refreshOwn } from "./refresh_own.ts";

/** Marks the own entry `gone`, as the last act of a planned shutdown. */
export function depart(directory: Directory, now: number): void {
  directory.phase = "gone";
  refreshOwn(directory, now);
}
