import { hash } from "../core/hash.ts";
import type { Resends } from "./resends.ts";
import { resendLimits as limits } from "./resend_limits.ts";

type Caller = Resends["callers"] extends Map<string, infer Value> ? Value
  : never;

/** A first send, or a resend that is accepted or denied. */
type SendClass = "first" | "resend" | "denied";

/**
 * Classifies a send: a first one is always accepted, a resend only if the token
 * bucket of the caller holds a token. Ids are stored as 32-bit hashes; a first
 * send that collides with another id of its caller counts as a resend.
 */
export function classifySend(
  resends: Resends,
  { caller: name, requestId }: { caller: string; requestId: string },
  now: number,
): SendClass {
  const caller = touchCaller(resends, name, now);
  const id = hash(requestId);
  const resent =
    now - (caller.sentAt.get(id) ?? -Infinity) < limits.retentionMs;
  recordSend(resends, { caller, id }, now);
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

function touchCaller(resends: Resends, name: string, now: number): Caller {
  const { callers } = resends;
  const caller = callers.get(name) ??
    { sentAt: new Map(), tokens: limits.burst, refilledAt: now };
  const refill = Math.max(0, now - caller.refilledAt) * limits.tokensPerMs;
  caller.tokens = Math.min(limits.burst, caller.tokens + refill);
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

function recordSend(
  resends: Resends,
  { caller, id }: { caller: Caller; id: number },
  now: number,
): void {
  if (caller.sentAt.delete(id)) resends.size -= 1;
  if (resends.size >= limits.ids) evictOne(resends, caller);
  caller.sentAt.set(id, now);
  resends.size += 1;
}

/**
 * Evicts the oldest id of the caller if it holds more than its share, else of
 * the caller with the most ids, so that no caller can evict the ids of others.
 */
function evictOne(resends: Resends, caller: Caller): void {
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
