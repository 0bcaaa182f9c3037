import { z } from "zod";

/** Reason for which a request was certainly not run. */
const NotRunReason = z.enum([
  "bad-request",
  "unknown-service",
  "no-server",
  "connect-failed",
  "overload",
  "deadline",
  "leaving",
  "token-expired",
  "token-revoked",
  "token-invalid",
  "token-required",
  "parent-repeatable",
  "cancelled",
  "too-large",
  "server-shed",
]);

/** Reason for which it is unknown whether a request was run. */
const UnknownReason = z.enum([
  "connection-lost",
  "deadline",
  "truncated",
  "mismatched-response",
  "malformed-response",
  "old-incarnation",
  "response-gone",
  "cancelled",
  "resend-limit",
  "platform-down",
]);

/** Outcome of a request or of a single attempt. */
export const Outcome = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("answered"), status: z.number().int() }),
  z.object({ kind: z.literal("not-run"), reason: NotRunReason }),
  z.object({ kind: z.literal("unknown"), reason: UnknownReason }),
]);
export type Outcome = z.infer<typeof Outcome>;
