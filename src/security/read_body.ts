import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** Reads a whole request body; null as soon as it exceeds `maxBytes`. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | null> {
  if (Number(request.headers["content-length"] ?? 0) > maxBytes) return null;
  const chunks: Buffer[] = [];
  let bytes = 0;
  // The connection has to stay open for the rejection to be sent.
  const stream: AsyncIterable<Buffer> = request.iterator({
    destroyOnReturn: false,
  });
  for await (const chunk of stream) {
    bytes += chunk.length;
    if (bytes > maxBytes) return null;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
