import type { Relay } from "./relay.ts";

const MAX_STOCK = 64;
/** Well below the lifetime of a token, so that a stocked one can still be used. */
const USABLE_MS = 20_000;

/** Keeps execution tokens that a daemon issued in advance. */
export function stockTokens(
  relay: Relay,
  address: string,
  tokens: string[],
): void {
  if (tokens.length === 0) return;
  const stock = relay.tokens.get(address) ?? [];
  const until = relay.clock() + USABLE_MS;
  for (const token of tokens) {
    if (stock.length < MAX_STOCK) stock.push({ token, until });
  }
  relay.tokens.set(address, stock);
}
