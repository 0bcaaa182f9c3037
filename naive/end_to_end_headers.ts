import type { IncomingHttpHeaders } from "node:http";

const NOT_FORWARDED = new Set([
  "connection",
  "content-length",
  "host",
  "keep-alive",
  "transfer-encoding",
]);

/** Returns the headers to forward, which include the request context of the product. */
export function endToEndHeaders(
  headers: IncomingHttpHeaders,
): IncomingHttpHeaders {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !NOT_FORWARDED.has(name)),
  );
}
