import type { Fields } from "./fields.ts";
import type { Framing } from "./framing.ts";
import { readFraming } from "./read_framing.ts";

const BODILESS = /^HTTP\/1\.[01] (1\d\d|204|304)/;

/**
 * Returns how the body of a response to a request other than HEAD is framed.
 */
export function responseFraming(
  startLine: string,
  fields: Fields,
): Framing | "malformed" {
  const declared = readFraming(fields);
  if (declared === "malformed") return declared;
  if (BODILESS.test(startLine)) return { kind: "fixed", bytes: 0 };
  return declared ?? { kind: "until-close" };
}
