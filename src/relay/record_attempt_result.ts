import { addTokens } from "../execution/add_tokens.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { end } from "../routing/end.ts";
import { recordLevel } from "../shedding/record_level.ts";
import type { Call } from "./call.ts";
import type { Feedback } from "./feedback.ts";
import type { Relay } from "./relay.ts";

/** How an attempt at a daemon ended. */
type AttemptResult = { address: string; outcome: Outcome; feedback: Feedback };

/**
 * Updates routing, shedding and the token cache with the result of an attempt.
 */
export function recordAttemptResult(
  relay: Relay,
  { service, context: { department } }: Call,
  { address, outcome, feedback }: AttemptResult,
): void {
  const now = relay.clock();
  end(relay.routing, { address, outcome, load: feedback.load }, now);
  const { tokens } = feedback;
  if (tokens.length > 0) {
    addTokens(relay.tokenCache, { peer: address, tokens }, now);
  }
  const { level } = feedback;
  if (level !== null) {
    const report = { service, daemon: address, level, department };
    recordLevel(relay.shedding, report, now);
  }
}
