import type { IncomingHttpHeaders } from "node:http";

const DROPPED = new Set([
  "connection",
  "content-length",
  "host",
  "keep-alive",
  "transfer-encoding",
]);

/** Returns the headers that are passed on, with the context of the product. */
export function endToEndHeaders(
  headers: IncomingHttpHeaders,
): IncomingHttpHeaders {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !DROPPED.has(name)),
  );
}
