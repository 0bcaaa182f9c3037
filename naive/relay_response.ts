import type { ServerResponse } from "node:http";
import type { Dispatcher } from "undici";
import { endToEndHeaders } from "./end_to_end_headers.ts";

/**
 * Passes a response on as it comes: unchecked, and with a clean end even where
 * the body breaks off.
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
    // What arrived so far is all there is.
  }
  response.end();
}
