import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { HEADER } from "./header.ts";
import { signResponse } from "./sign_response.ts";

/**
 * Makes a response buffer its body and add its MAC when it ends. Control
 * responses are small and need no streaming.
 */
export function signOnEnd(
  response: ServerResponse,
  { key, requestMac }: { key: string; requestMac: string },
): void {
  const chunks: Buffer[] = [];
  const end = response.end.bind(response) as (body: Buffer) => ServerResponse;
  const bufferChunk = (chunk: unknown) => {
    if (typeof chunk === "string" || chunk instanceof Uint8Array) {
      chunks.push(Buffer.from(chunk as Uint8Array));
    }
    return true;
  };
  response.write = bufferChunk;
  response.end = ((chunk?: unknown) => {
    bufferChunk(chunk);
    const body = Buffer.concat(chunks);
    const status = response.statusCode;
    response.setHeader(
      HEADER.mac,
      signResponse(key, { requestMac, status, body }),
    );
    response.setHeader("content-length", body.length);
    return end(body);
  }) as ServerResponse["end"];
}
