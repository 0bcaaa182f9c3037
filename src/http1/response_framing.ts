import type { Fields } from "./fields.ts";
import type { Framing } from "./framing.ts";
import { readFraming } from "./read_framing.ts";

const BODILESS = /^HTTP\/1\.[01] (1\d\d|204|304)/;

/** Returns where the body of a response to a request other than HEAD ends. */
export function responseFraming(
  startLine: string,
  fields: Fields,
): Framing | "malformed" {
  const stated = readFraming(fields);
  if (stated === "malformed") return stated;
  if (BODILESS.test(startLine)) return { kind: "fixed", bytes: 0 };
  return stated ?? { kind: "until-close" };
}
