import type { IncomingMessage } from "node:http";

const MAX_BYTES = 64 * 1024;

/** Reads a JSON body; undefined if it is too large or not valid JSON. */
export async function readJson(
  request: IncomingMessage,
  maxBytes = MAX_BYTES,
): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += chunk.length;
    if (size > maxBytes) return undefined;
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
  } catch {
    return undefined;
  }
}
