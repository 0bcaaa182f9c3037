import type { Fields } from "./fields.ts";
import type { Framing } from "./framing.ts";
import { readFraming } from "./read_framing.ts";

/**
 * Returns how the body of a request is framed. It has none if the fields
 * declare none.
 */
export function requestFraming(
  _startLine: string,
  fields: Fields,
): Framing | "malformed" {
  return readFraming(fields) ?? { kind: "fixed", bytes: 0 };
}
