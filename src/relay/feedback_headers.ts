import { Header } from "../context/header.ts";
import type { Feedback } from "./feedback.ts";

const LOAD_DIGITS = 3;

/** Adds feedback to the headers of a response to another daemon. */
export function feedbackHeaders(
  headers: Record<string, string | string[]>,
  feedback: Feedback,
): void {
  headers[Header.unspent] = String(feedback.unspent);
  if (feedback.level !== null) headers[Header.level] = String(feedback.level);
  if (feedback.load !== null) {
    headers[Header.load] = feedback.load.toFixed(LOAD_DIGITS);
  }
  if (feedback.tokens.length > 0) {
    headers[Header.tokens] = feedback.tokens.join(" ");
  }
  if (feedback.downstreamOverload) headers[Header.overloadedBelow] = "1";
}
