import type { Resends } from "./resends.ts";
import { resendLimits as limits } from "./resend_limits.ts";

/** Removes expired request ids, and callers with no ids and a full bucket. */
export function sweepResends(resends: Resends, now: number): void {
  for (const [name, caller] of resends.callers) {
    for (const [id, sentAt] of caller.sentAt) {
      if (now - sentAt < limits.retentionMs) break;
      caller.sentAt.delete(id);
      resends.size -= 1;
    }
    const refill = (now - caller.refilledAt) * limits.tokensPerMs;
    const full = caller.tokens + refill >= limits.burst;
    if (full && caller.sentAt.size === 0) resends.callers.delete(name);
  }
}
