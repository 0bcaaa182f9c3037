import type { Outcome } from "./outcome.ts";

const NOT_RUN_STATUS: Partial<Record<string, number>> = {
  "bad-request": 400,
  "unknown-service": 404,
  "token-invalid": 400,
  "token-required": 428,
  "parent-repeatable": 409,
  "token-expired": 409,
  "token-revoked": 409,
  "too-large": 413,
};

const UNKNOWN_STATUS: Partial<Record<string, number>> = {
  "deadline": 504,
  "resend-limit": 429,
  "platform-down": 503,
};

const STATUS: {
  [Kind in Outcome["kind"]]: (
    outcome: Extract<Outcome, { kind: Kind }>,
  ) => number;
} = {
  "answered": (outcome) => outcome.status,
  "not-run": (outcome) => NOT_RUN_STATUS[outcome.reason] ?? 503,
  "unknown": (outcome) => UNKNOWN_STATUS[outcome.reason] ?? 502,
};

/** Returns the HTTP status that reports an outcome to a caller. */
export function httpStatus(outcome: Outcome): number {
  return (STATUS[outcome.kind] as (outcome: Outcome) => number)(outcome);
}
