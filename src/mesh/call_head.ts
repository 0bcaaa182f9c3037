import type { CallRequest } from "../calls/call_request.ts";

/**
 * A call without body, caller and deadline: id, method, target, fields, route,
 * server id, nested, rank, repeatable, and the repeated share in hundredths. A
 * tuple, since property names would make up most of its encoded size.
 */
export type CallHead = [
  string,
  string,
  string,
  string[],
  string,
  string,
  boolean,
  number,
  boolean,
  number,
];

/** The properties of a call request that its head carries. */
export type DecodedCallHead = Omit<
  CallRequest,
  "body" | "caller" | "expiresAt"
>;
