import type { TokenCache } from "./token_cache.ts";

/**
 * Takes a token of a peer out of the stock, or returns null where none is
 * usable. Tokens of another process than `instance`, where that is known, are
 * dropped: nobody would run them any more.
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
