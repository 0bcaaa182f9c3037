import { createHmac } from "node:crypto";

const MAC_LENGTH = 22;

/** Returns the MAC of a token's fields under the process's key. */
export function mac(key: Buffer, fields: string): string {
  return createHmac("sha256", key).update(fields).digest("base64url")
    .slice(0, MAC_LENGTH);
}
