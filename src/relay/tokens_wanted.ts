import type { Relay } from "./relay.ts";

/** Execution tokens to keep in the cache for each daemon. */
const CACHED_PER_DAEMON = 4;

/** Returns how many execution tokens to request along with an attempt. */
export function tokensWanted(relay: Relay, address: string): number {
  if (address === relay.address) return 0;
  const held = relay.tokenCache.peers.get(address)?.tokens.length ?? 0;
  return Math.max(0, CACHED_PER_DAEMON - held);
}
