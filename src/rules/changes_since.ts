import type { Change } from "./change.ts";
import type { Rules } from "./rules.ts";

/**
 * Changes after a sequence; the receiver requests more after the last of them.
 */
type Delta =
  | { kind: "changes"; changes: Change[] }
  | { kind: "too-old" };

// Keeps a response within the size limit of control messages.
const MAX_DELTA_BYTES = 262_144;

/**
 * Returns the changes after a sequence, as many as fit into one response and at
 * least one. `too-old` tells the receiver to request a snapshot.
 */
export function changesSince(rules: Rules, sequence: number): Delta {
  if (sequence >= rules.record.sequence) {
    return { kind: "changes", changes: [] };
  }
  const index = rules.recentChanges.findIndex(({ change }) =>
    change.record.sequence === sequence + 1
  );
  if (index < 0) return { kind: "too-old" };
  const changes: Change[] = [];
  let total = 0;
  for (const { change, bytes } of rules.recentChanges.slice(index)) {
    total += bytes;
    if (changes.length > 0 && total > MAX_DELTA_BYTES) break;
    changes.push(change);
  }
  return { kind: "changes", changes };
}
