import type { TokenCache } from "./token_cache.ts";

/** Drops all cached tokens of a peer that restarted or refuses them. */
export function dropTokens(cache: TokenCache, peer: string): void {
  cache.peers.delete(peer);
}
