import { Buffer } from "node:buffer";
import { createHmac } from "node:crypto";

/**
 * Returns the MAC of a response. It covers the MAC of the request, so that a
 * recorded response cannot be replayed for another request.
 */
export function signResponse(
  key: string,
  { requestMac, status, body }: {
    requestMac: string;
    status: number;
    body: Buffer;
  },
): string {
  const head = Buffer.from(`response ${requestMac} ${status} `);
  return createHmac("sha256", key).update(head).update(body)
    .digest("base64url");
}
