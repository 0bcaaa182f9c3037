import { timingSafeEqual } from "node:crypto";
import type { Ledger } from "./ledger.ts";
import { mac } from "./mac.ts";
import type { Token } from "./token.ts";

/** Returns whether a token's MAC shows that this process issued it. */
export function verifyToken(ledger: Ledger, token: Token): boolean {
  const { address, instance, nonce, expiresAt } = token;
  const fields = `${address}_${instance}_${nonce}_${expiresAt}`;
  const expected = mac(ledger.key, fields);
  return timingSafeEqual(Buffer.from(expected), Buffer.from(token.mac));
}
