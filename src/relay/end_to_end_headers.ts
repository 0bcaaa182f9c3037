import type { IncomingHttpHeaders } from "node:http";

const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "expect",
]);
const CONTEXT_PREFIX = "nutmegmoor-";

/** Returns the headers to forward, without hop-by-hop and context headers. */
export function endToEndHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {};
  const listed = connectionOptions(headers.connection);
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    if (name.startsWith(CONTEXT_PREFIX) || listed?.has(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
}

function connectionOptions(value: string | undefined): Set<string> | null {
  if (value === undefined || value === "keep-alive" || value === "close") {
    return null;
  }
  return new Set(value.split(",").map((name) => name.trim().toLowerCase()));
}
