import type { Fields } from "../http1/fields.ts";

/**
 * Outcome of an attempt to run a request. `not-run` guarantees that this
 * attempt has not run the request and never will.
 */
export type CallOutcome =
  | {
    kind: "answered";
    status: number;
    fields: Fields;
    body: Buffer;
  }
  | {
    kind: "not-run";
    reason: NotRunReason;
    /** Time after which capacity is expected, in ms. */
    waitMs?: number;
    /** Whether a backend server received the request and rejected it. */
    arrived: boolean;
  }
  | { kind: "unknown"; reason: UnknownReason };

type NotRunReason =
  | "overload"
  | "expired"
  | "cancelled"
  | "leaving"
  | "no-server"
  | "other-server"
  | "server-rejected"
  | "connect-failed"
  | "no-room";

type UnknownReason =
  | "connection-lost"
  | "malformed-message"
  | "malformed-response"
  | "mismatched-response"
  | "truncated-response"
  | "oversized-response"
  | "no-room"
  | "unsigned-response"
  | "unconfirmed-refusal"
  | "link-lost"
  | "expired";
