import { Buffer } from "node:buffer";
import { createHmac } from "node:crypto";
import type { ControlMessage } from "./control_message.ts";

/** Returns the HMAC-SHA-256 of a control message in base64url. */
export function sign(key: string, message: ControlMessage): string {
  const { body, ...fields } = message;
  const mac = createHmac("sha256", key);
  // Each part is preceded by its length, so that the parts cannot be confused.
  const parts = [
    fields.method,
    fields.path,
    fields.sender,
    fields.recipient,
    fields.instance,
    String(fields.counter),
    fields.epoch,
  ].map((part) => Buffer.from(part));
  for (const part of [...parts, body]) {
    mac.update(`${part.length}:`).update(part);
  }
  return mac.digest("base64url");
}
