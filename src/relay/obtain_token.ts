import { issueToken } from "../execution/issue_token.ts";
import { addTokens } from "../execution/add_tokens.ts";
import { takeToken } from "../execution/take_token.ts";
import type { Candidate } from "../routing/candidate.ts";
import { obtainTokens } from "./obtain_tokens.ts";
import type { Relay } from "./relay.ts";

const COUNT = 4;

/** Hands over an execution token of a daemon, or null where it gave none. */
export function obtainToken(
  relay: Relay,
  { address, instance }: Pick<Candidate, "address" | "instance">,
  done: (token: string | null) => void,
): void {
  const now = relay.clock();
  if (address === relay.address) return done(issueToken(relay.ledger, now));
  const stocked = takeToken(relay.tokenCache, { peer: address, instance }, now);
  if (stocked !== null) return done(stocked);
  obtainTokens(relay, { address, count: COUNT }).then((tokens) => {
    addTokens(relay.tokenCache, { peer: address, tokens }, relay.clock());
    done(takeToken(relay.tokenCache, { peer: address }, relay.clock()));
  });
}
