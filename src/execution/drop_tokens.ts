import type { Stock } from "./stock.ts";

/** Drops all tokens of a peer, for one that restarted or refuses them. */
export function dropTokens(stock: Stock, peer: string): void {
  stock.peers.delete(peer);
}
