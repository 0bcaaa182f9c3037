import { levelFor } from "../admission/level_for.ts";
import { load } from "../admission/load.ts";
import { issueToken } from "../execution/issue_token.ts";
import { closeAccount } from "../retries/close_account.ts";
import type { Attempt } from "./attempt.ts";
import type { Feedback } from "./feedback.ts";
import type { Parent } from "./parent.ts";
import type { Relay } from "./relay.ts";

/** Maximum number of tokens that are issued with one response. */
const MAX_TOKENS = 4;

/**
 * Creates the feedback for a response and closes the parent's retry account.
 */
export function inboundFeedback(
  relay: Relay,
  attempt: Attempt,
  parent: Parent | null,
): Feedback {
  const now = relay.clock();
  const tokens: string[] = [];
  const wanted = Math.min(MAX_TOKENS, attempt.tokensWanted);
  for (let count = 0; count < wanted && !relay.isLeaving(); count++) {
    tokens.push(issueToken(relay.ledger, now));
  }
  return {
    unspent: parent === null
      ? attempt.context.retries
      : closeAccount(parent.account),
    level: relay.admission === null
      ? null
      : levelFor(relay.admission, attempt.context.department),
    load: relay.admission === null ? null : load(relay.admission),
    tokens,
    downstreamOverload: parent?.downstreamOverload ?? false,
  };
}
