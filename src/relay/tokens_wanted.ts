import type { Relay } from "./relay.ts";

/** Execution tokens of one daemon that are kept in advance. */
const STOCK = 4;

/** Returns how many execution tokens to ask a daemon for with an attempt. */
export function tokensWanted(relay: Relay, address: string): number {
  if (address === relay.address) return 0;
  const held = relay.tokenCache.peers.get(address)?.tokens.length ?? 0;
  return Math.max(0, STOCK - held);
}
