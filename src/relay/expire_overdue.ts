import type { Relay } from "./relay.ts";

/**
 * Ends what is past its deadline. One sweep over all open work is cheaper than
 * a timer for each request.
 */
export function expireOverdue(relay: Relay, now: number): void {
  for (const entry of relay.open) {
    if (now < entry.deadlineAt) continue;
    relay.open.delete(entry);
    entry.expire();
  }
}
