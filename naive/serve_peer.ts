import type { IncomingMessage, ServerResponse } from "node:http";
import { request as send } from "undici";
import type { Directory } from "./directory.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { relayResponse } from "./relay_response.ts";
import { readBody } from "./read_body.ts";

/** Forwards a peer's request to the local backend server, without queueing. */
export async function servePeer(
  { members, address }: Directory,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request);
  const server = members.get(address)?.server;
  try {
    const path = request.url!.slice((server?.service.length ?? 0) + 1);
    const answer = await send(`http://${server?.address}${path}`, {
      method: request.method as "GET",
      headers: endToEndHeaders(request.headers),
      body: body.length > 0 ? body : null,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    await relayResponse(answer, response);
  } catch {
    response.writeHead(503, { "nutmegmoor-outcome": "not-run" });
    response.end();
  }
}
