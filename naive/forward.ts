import type { IncomingMessage, ServerResponse } from "node:http";
import { request as send } from "undici";
import type { Directory } from "./directory.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { relayResponse } from "./relay_response.ts";
import { readBody } from "./read_body.ts";

const RETRIES = 3;

/**
 * Sends a request to the next server in round-robin order and retries it after
 * anything but success, whether or not it is idempotent. Deadlines are not
 * propagated.
 */
export async function forward(
  directory: Directory,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request);
  for (let attempt = 0; attempt <= RETRIES; attempt++) {
    const daemon = nextDaemon(directory, request.url!.split("/")[1]!);
    if (daemon === null) break;
    try {
      const answer = await send(`http://${daemon}${request.url}`, {
        method: request.method as "GET",
        headers: {
          ...endToEndHeaders(request.headers),
          "nutmegmoor-attempt": nextAttemptId(),
        },
        body: body.length > 0 ? body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      if (answer.statusCode < 300 || attempt === RETRIES) {
        return await relayResponse(answer, response);
      }
      await answer.body.dump();
    } catch {
      // The next attempt goes to the next server.
    }
  }
  response.writeHead(503, { "nutmegmoor-outcome": "not-run" });
  response.end();
}

function nextDaemon(
  { members, nextIndices }: Directory,
  service: string,
): string | null {
  const entries = [...members.values()].filter(({ server }) =>
    server.service === service
  );
  const index = nextIndices.get(service) ?? 0;
  nextIndices.set(service, index + 1);
  return entries[index % entries.length]?.address ?? null;
}

let lastAttemptId = 0;

function nextAttemptId(): string {
  lastAttemptId += 1;
  return `naive-${lastAttemptId}`;
}
