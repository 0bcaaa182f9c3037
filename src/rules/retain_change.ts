import type { Change } from "./change.ts";
import type { Rules } from "./rules.ts";

// 256 changes are about 90 minutes at 4,000 changes a day, more than the usual
// partition of an hour. The bytes bound the memory when sections are large; at
// 1 MiB only 146 changes were kept with 13 services to a department.
const MAX_RECENT_CHANGES = 256;
const MAX_RECENT_BYTES = 2_097_152;

/** Keeps a change for peers that are behind and forgets the oldest ones. */
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
