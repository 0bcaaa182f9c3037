import { hash } from "../core/hash.ts";
import type { Resends } from "./resends.ts";
import { resendLimits as limits } from "./resend_limits.ts";

type Caller = Resends["callers"] extends Map<string, infer Value> ? Value
  : never;

/** Whether a request is a first send, or a resend that may or may not go on. */
type Verdict = "first" | "resend" | "denied";

/**
 * Judges a send: a first one always goes on, a resend while the caller's bucket
 * holds a token. Ids are kept as 32-bit hashes; a first send that collides with
 * another id of its caller counts as a resend.
 */
export function classifySend(
  resends: Resends,
  { caller: name, requestId }: { caller: string; requestId: string },
  now: number,
): Verdict {
  const caller = touch(resends, name, now);
  const id = hash(requestId);
  const resent =
    now - (caller.sentAt.get(id) ?? -Infinity) < limits.retentionMs;
  remember(resends, { caller, id }, now);
  if (!resent) {
    caller.tokens = Math.min(
      limits.burst,
      caller.tokens + limits.tokensPerSend,
    );
    return "first";
  }
  if (caller.tokens < 1) return "denied";
  caller.tokens -= 1;
  return "resend";
}

function touch(resends: Resends, name: string, now: number): Caller {
  const { callers } = resends;
  const caller = callers.get(name) ??
    { sentAt: new Map(), tokens: limits.burst, refilledAt: now };
  const earned = Math.max(0, now - caller.refilledAt) * limits.tokensPerMs;
  caller.tokens = Math.min(limits.burst, caller.tokens + earned);
  caller.refilledAt = now;
  callers.delete(name);
  callers.set(name, caller);
  if (callers.size > limits.callers) {
    const [idle, { sentAt }] = callers.entries().next().value!;
    resends.size -= sentAt.size;
    callers.delete(idle);
  }
  return caller;
}

function remember(
  resends: Resends,
  { caller, id }: { caller: Caller; id: number },
  now: number,
): void {
  if (caller.sentAt.delete(id)) resends.size -= 1;
  if (resends.size >= limits.ids) forgetOne(resends, caller);
  caller.sentAt.set(id, now);
  resends.size += 1;
}

/** A caller above its share loses its own oldest id, so that no caller makes others forgotten. */
function forgetOne(resends: Resends, caller: Caller): void {
  const share = limits.ids / resends.callers.size;
  let victim = caller;
  if (caller.sentAt.size < share) {
    for (const other of resends.callers.values()) {
      if (other.sentAt.size > victim.sentAt.size) victim = other;
    }
  }
  const [oldest] = victim.sentAt.keys();
  if (oldest !== undefined && victim.sentAt.delete(oldest)) resends.size -= 1;
}
