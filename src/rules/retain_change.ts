import type { Change } from "./change.ts";
import type { Rules } from "./rules.ts";

// At 4,000 changes a day, 256 changes cover about 90 minutes, longer than the
// usual network partition of an hour. The byte limit bounds the memory when
// sections are large. It is 2 MiB because 1 MiB holds only 146 changes of
// departments with 13 services.
const MAX_RECENT_CHANGES = 256;
const MAX_RECENT_BYTES = 2_097_152;

/** Keeps a change for peers that are behind, and evicts the oldest changes. */
export function retainChange(
  rules: Rules,
  retained: { change: Change; bytes: number },
) {
  rules.recentChanges.push(retained);
  rules.recentBytes += retained.bytes;
  while (
    rules.recentChanges.length > MAX_RECENT_CHANGES ||
    rules.recentBytes > MAX_RECENT_BYTES
  ) {
    rules.recentBytes -= rules.recentChanges.shift()?.bytes ?? 0;
  }
}
