import type { Stock } from "./stock.ts";

/** Takes a token of a peer out of the stock, or returns null where none is usable. */
export function takeToken(
  stock: Stock,
  peer: string,
  now: number,
): string | null {
  const supply = stock.peers.get(peer);
  if (supply === undefined) return null;
  while (supply.tokens.length > 0) {
    const { text, usableUntil } = supply.tokens.shift()!;
    if (now < usableUntil) return text;
  }
  stock.peers.delete(peer);
  return null;
}
