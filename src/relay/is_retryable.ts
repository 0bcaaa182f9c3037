import type { Outcome } from "../outcomes/outcome.ts";
import type { Call } from "./call.ts";

const RETRYABLE_STATUS = new Set([502, 503, 504]);

/** Rejections that any other daemon would return as well. */
const FINAL_REASONS = new Set([
  "bad-request",
  "too-large",
  "deadline",
  "cancelled",
  "token-invalid",
  "token-required",
  "parent-repeatable",
]);

/** Returns whether another attempt is safe after this outcome. */
export function isRetryable(outcome: Outcome, call: Call): boolean {
  if (outcome.kind === "not-run") {
    return !call.hasCallerToken && !FINAL_REASONS.has(outcome.reason);
  }
  if (!call.rule.idempotent || outcome.kind === "unknown") {
    return call.rule.idempotent;
  }
  return RETRYABLE_STATUS.has(outcome.status);
}
