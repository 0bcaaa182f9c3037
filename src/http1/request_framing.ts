import type { Fields } from "./fields.ts";
import type { Framing } from "./framing.ts";
import { readFraming } from "./read_framing.ts";

/** Returns where the body of a request ends; without a statement it has none. */
export function requestFraming(
  _startLine: string,
  fields: Fields,
): Framing | "malformed" {
  return readFraming(fields) ?? { kind: "fixed", bytes: 0 };
}
