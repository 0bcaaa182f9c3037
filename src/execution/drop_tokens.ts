import type { TokenCache } from "./token_cache.ts";

/** Drops all tokens of a peer, for one that restarted or refuses them. */
export function dropTokens(cache: TokenCache, peer: string): void {
  cache.peers.delete(peer);
}
