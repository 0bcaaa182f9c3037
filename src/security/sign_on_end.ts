import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { HEADER } from "./header.ts";
import { signResponse } from "./sign_response.ts";

/**
 * Makes a response collect its body and add its MAC when it ends. Control
 * responses are small, so nothing is lost by not streaming them.
 */
export function signOnEnd(
  response: ServerResponse,
  { key, requestMac }: { key: string; requestMac: string },
): void {
  const chunks: Buffer[] = [];
  const end = response.end.bind(response) as (body: Buffer) => ServerResponse;
  const collect = (chunk: unknown) => {
    if (typeof chunk === "string" || chunk instanceof Uint8Array) {
      chunks.push(Buffer.from(chunk as Uint8Array));
    }
    return true;
  };
  response.write = collect;
  response.end = ((chunk?: unknown) => {
    collect(chunk);
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
