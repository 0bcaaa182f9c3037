import type { CallRequest } from "../calls/call_request.ts";

/** The properties of a call request that its head carries. */
export type DecodedCallHead = Omit<
  CallRequest,
  "body" | "caller" | "expiresAt"
>;
