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
  const supply = cache.peers.get(peer);
  if (supply === undefined) return null;
  if (instance !== undefined && supply.instance !== instance) {
    cache.peers.delete(peer);
    return null;
  }
  while (supply.tokens.length > 0) {
    const { text, usableUntil } = supply.tokens.shift()!;
    if (now < usableUntil) return text;
  }
  cache.peers.delete(peer);
  return null;
}
