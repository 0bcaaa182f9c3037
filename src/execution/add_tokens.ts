import { parseToken } from "./parse_token.ts";
import type { TokenCache } from "./token_cache.ts";
import { TOKEN_LIFETIME_MS } from "./token_lifetime_ms.ts";

/**
 * Tokens are not used this close to their expiry: a request takes time to
 * reach the peer and waits in its queue.
 */
const EXPIRY_MARGIN_MS = 15_000;
const MAX_PEERS = 256;
/** Per peer. */
const MAX_TOKENS = 16;

/**
 * Adds tokens that were just received with a response of a peer. Cached tokens
 * of an earlier process at that address are dropped; new ones for another
 * address are ignored.
 */
export function addTokens(
  cache: TokenCache,
  { peer, tokens }: { peer: string; tokens: string[] },
  now: number,
): void {
  const usableUntil = now + TOKEN_LIFETIME_MS - EXPIRY_MARGIN_MS;
  for (const text of tokens) {
    const token = parseToken(text);
    if (token === null || token.address !== peer) continue;
    const existing = cache.peers.get(peer);
    const peerTokens = existing?.instance === token.instance
      ? existing
      : { instance: token.instance, tokens: [] };
    cache.peers.delete(peer);
    cache.peers.set(peer, peerTokens);
    if (peerTokens.tokens.some((cached) => cached.text === text)) continue;
    peerTokens.tokens.push({ text, usableUntil });
    if (peerTokens.tokens.length > MAX_TOKENS) peerTokens.tokens.shift();
  }
  if (cache.peers.size > MAX_PEERS) {
    const [oldest] = cache.peers.keys();
    cache.peers.delete(oldest!);
  }
}
