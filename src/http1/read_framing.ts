import type { Fields } from "./fields.ts";
import type { Framing } from "./framing.ts";

const DIGITS = /^\d{1,15}$/;

/**
 * Returns the framing that the fields declare, null if they declare none, or
 * `malformed`. A second `Content-Length`, or one beside chunked coding, is
 * rejected: two readers could disagree about where such a message ends.
 */
export function readFraming(fields: Fields): Framing | null | "malformed" {
  let length: string | null = null;
  let coding: string | null = null;
  for (let i = 0; i < fields.length; i += 2) {
    const name = fields[i]!;
    if (name.length === 14 && name.toLowerCase() === "content-length") {
      if (length !== null) return "malformed";
      length = fields[i + 1]!;
    } else if (
      name.length === 17 && name.toLowerCase() === "transfer-encoding"
    ) {
      if (coding !== null) return "malformed";
      coding = fields[i + 1]!;
    }
  }
  if (coding !== null) {
    if (length !== null || coding.toLowerCase() !== "chunked") {
      return "malformed";
    }
    return { kind: "chunked" };
  }
  if (length === null) return null;
  if (!DIGITS.test(length)) return "malformed";
  return { kind: "fixed", bytes: Number(length) };
}
