import { issueToken } from "../execution/issue_token.ts";
import { peerPool } from "./peer_pool.ts";
import type { Relay } from "./relay.ts";
import { stockTokens } from "./stock_tokens.ts";

const COUNT = 4;

/** Hands over an execution token of a daemon, or null where it gave none. */
export function obtainToken(
  relay: Relay,
  address: string,
  done: (token: string | null) => void,
): void {
  const now = relay.clock();
  if (address === relay.address) return done(issueToken(relay.ledger, now));
  const stocked = takeStocked(relay, address);
  if (stocked !== null) return done(stocked);
  peerPool(relay, address).request({
    method: "POST",
    path: `/-/tokens?count=${COUNT}`,
    headersTimeout: 500,
    bodyTimeout: 500,
  }).then(async ({ statusCode, body }) => {
    const text = await body.text();
    if (statusCode !== 200) return done(null);
    stockTokens(relay, address, text.split(" "));
    done(takeStocked(relay, address));
  }, () => done(null));
}

function takeStocked(relay: Relay, address: string): string | null {
  const stock = relay.tokens.get(address);
  const now = relay.clock();
  while (stock !== undefined && stock.length > 0) {
    const { token, until } = stock.shift()!;
    if (now < until) return token;
  }
  return null;
}
