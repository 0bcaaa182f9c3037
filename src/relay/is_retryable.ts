import type { Outcome } from "../outcomes/outcome.ts";
import type { Call } from "./call.ts";

const RETRYABLE_STATUS = new Set([502, 503, 504]);

/** Rejections that another daemon would repeat. */
const FINAL_REASONS = new Set([
  "bad-request",
  "too-large",
  "deadline",
  "cancelled",
  "token-invalid",
  "token-required",
  "parent-repeatable",
]);

/** Returns whether another attempt after this outcome does no harm. */
export function isRetryable(outcome: Outcome, call: Call): boolean {
  if (outcome.kind === "not-run") {
    return !call.callerToken && !FINAL_REASONS.has(outcome.reason);
  }
  if (!call.rule.idempotent || outcome.kind === "unknown") {
    return call.rule.idempotent;
  }
  return RETRYABLE_STATUS.has(outcome.status);
}
