import type { CallRequest } from "../calls/call_request.ts";

/**
 * A call without its body, its caller and its time: id, method, target, fields,
 * route, server, nested, rank, repeatable and how far it repeats earlier work,
 * in hundredths. Names would be most of its bytes.
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

/** The fields that a call's head carries. */
export type DecodedCallHead = Omit<
  CallRequest,
  "body" | "caller" | "expiresAt"
>;
