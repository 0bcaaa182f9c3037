import type { Settings } from "../settings/settings.ts";

/** Placeholder until the composition of the daemon is merged. */
export function startDaemon(_settings: Settings): Promise<void> {
  return Promise.reject(new Error("This build can't run the daemon yet"));
}
