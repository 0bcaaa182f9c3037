import type { Fields } from "./fields.ts";
import type { Framing } from "./framing.ts";

const DIGITS = /^\d{1,15}$/;

/**
 * Returns the framing that the fields state, null where they state none, or
 * `malformed`. A length given twice, or beside chunks, is refused: two readers
 * could disagree about where such a message ends.
 */
export function readFraming(fields: Fields): Framing | null | "malformed" {
  let length: string | null = null;
  let coding: string | null = null;
  for (let at = 0; at < fields.length; at += 2) {
    const name = fields[at]!;
    if (name.length === 14 && name.toLowerCase() === "content-length") {
      if (length !== null) return "malformed";
      length = fields[at + 1]!;
    } else if (
      name.length === 17 && name.toLowerCase() === "transfer-encoding"
    ) {
      if (coding !== null) return "malformed";
      coding = fields[at + 1]!;
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
