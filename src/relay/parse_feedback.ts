import type { IncomingHttpHeaders } from "node:http";
import { Header } from "../context/header.ts";
import type { Feedback } from "./feedback.ts";

/** Maximum number of tokens that are accepted from one response. */
const MAX_TOKENS = 16;

/** Reads feedback from the response headers of another daemon. */
export function parseFeedback(headers: IncomingHttpHeaders): Feedback {
  const tokens = headers[Header.tokens];
  return {
    unspent: numberOf(headers[Header.unspent]) ?? 0,
    level: numberOf(headers[Header.level]),
    load: numberOf(headers[Header.load]),
    tokens: typeof tokens === "string"
      ? tokens.split(" ").slice(0, MAX_TOKENS)
      : [],
    downstreamOverload: headers[Header.overloadedBelow] === "1",
  };
}

function numberOf(text: string | string[] | undefined): number | null {
  if (typeof text !== "string") return null;
  const value = Number(text);
  return Number.isFinite(value) && value >= 0 ? value : null;
}
