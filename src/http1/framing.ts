/** How the end of a message body is determined (RFC 9112, section 6.3). */
export type Framing =
  | { kind: "fixed"; bytes: number }
  | { kind: "chunked" }
  | { kind: "until-close" };
