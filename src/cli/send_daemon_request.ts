import type { DaemonResponse } from "./daemon_response.ts";
import type { DaemonRequest } from "./daemon_request.ts";

const CONNECT_TIMEOUT_MS = 3_000;
// Collecting the rules of all members takes a daemon several round trips.
const RESPONSE_TIMEOUT_MS = 30_000;
// The directory of 14,000 daemons takes about 4 MB of JSON.
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "ENOTFOUND",
  "EAI_AGAIN",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Sends a request on its own connection and reads the whole response. */
export async function sendDaemonRequest(
  request: DaemonRequest,
): Promise<DaemonResponse> {
  const { Client } = await import("undici");
  const client = new Client(`http://${request.daemon}`, {
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
  try {
    const response = await client.request({
      method: request.method,
      path: request.path,
      headers: {
        accept: request.accept ?? "application/json",
        "content-type": "application/json",
      },
      body: request.body === undefined ? null : JSON.stringify(request.body),
    });
    const text = await response.body.text();
    return { kind: "answered", status: response.statusCode, text };
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    const kind = NOT_SENT_CODES.has(code ?? "") ? "unreachable" : "unknown";
    return { kind, message: message === "" ? code ?? "no message" : message };
  } finally {
    await client.destroy();
  }
}
