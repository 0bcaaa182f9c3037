import type { TokenCache } from "./token_cache.ts";

/**
 * Removes a token of a peer from the cache and returns it, or null if none is
 * usable. If `instance` is given, tokens of other processes are dropped, since
 * no process would run them any more.
 */
export function takeToken(
  cache: TokenCache,
  { peer, instance }: { peer: string; instance?: string | undefined },
  now: number,
): string | null {
  const peerTokens = cache.peers.get(peer);
  if (peerTokens === undefined) return null;
  if (instance !== undefined && peerTokens.instance !== instance) {
    cache.peers.delete(peer);
    return null;
  }
  while (peerTokens.tokens.length > 0) {
    const { text, usableUntil } = peerTokens.tokens.shift()!;
    if (now < usableUntil) return text;
  }
  cache.peers.delete(peer);
  return null;
}
