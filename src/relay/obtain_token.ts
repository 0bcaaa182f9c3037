import { issueToken } from "../execution/issue_token.ts";
import { addTokens } from "../execution/add_tokens.ts";
import { takeToken } from "../execution/take_token.ts";
import type { Candidate } from "../routing/candidate.ts";
import { obtainTokens } from "./obtain_tokens.ts";
import type { Relay } from "./relay.ts";

const TOKENS_PER_REQUEST = 4;

/**
 * Takes an execution token of a daemon from the cache, or requests new ones.
 * `done` receives null if the daemon issued none.
 */
export function obtainToken(
  relay: Relay,
  { address, instance }: Pick<Candidate, "address" | "instance">,
  done: (token: string | null) => void,
): void {
  const now = relay.clock();
  if (address === relay.address) return done(issueToken(relay.ledger, now));
  const cached = takeToken(relay.tokenCache, { peer: address, instance }, now);
  if (cached !== null) return done(cached);
  obtainTokens(relay, { address, count: TOKENS_PER_REQUEST }).then((tokens) => {
    addTokens(relay.tokenCache, { peer: address, tokens }, relay.clock());
    done(takeToken(relay.tokenCache, { peer: address }, relay.clock()));
  });
}
