import type { IncomingHttpHeaders } from "node:http";

const NO_BODY = new Set([204, 304]);

/** The parts of a response that determine the framing of its body. */
type Head = { method: string; status: number; headers: IncomingHttpHeaders };

/**
 * Returns whether the end of the response body can be told from a lost
 * connection: by length, by chunks, or because there is no body.
 */
export function isDelimited({ method, status, headers }: Head): boolean {
  if (method === "HEAD" || NO_BODY.has(status)) return true;
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] === "chunked";
}
