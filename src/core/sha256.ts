import { createHash } from "node:crypto";

/** Returns the SHA-256 digest of a text in lower-case hex. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
