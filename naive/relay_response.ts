import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import { endToEndHeaders } from "./end_to_end_headers.ts";

/**
 * Relays a response without checks. A body that breaks off upstream is ended
 * normally, so that it looks complete to the caller.
 */
export async function relayResponse(
  { statusCode, headers, body }: Dispatcher.ResponseData,
  response: ServerResponse,
): Promise<void> {
  response.writeHead(statusCode, {
    "nutmegmoor-outcome": "answered",
    ...endToEndHeaders(headers),
  });
  try {
    for await (const chunk of body) response.write(chunk);
  } catch {
    // The part received so far is sent as the whole body.
  }
  response.end();
}
