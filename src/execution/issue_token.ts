import { randomBytes } from "node:crypto";
import type { Ledger } from "./ledger.ts";
import { mac } from "./mac.ts";

/**
 * Issues an execution token that only this process will run, at most once.
 * Expiry increases with the time of issue; `revokedThrough` and
 * `forgottenBefore` depend on that.
 */
export function issueToken(ledger: Ledger, now: number): string {
  const nonce = randomBytes(8).toString("hex");
  const earliest = Math.ceil(now + ledger.lifetimeMs);
  const expiresAt = Math.max(earliest, ledger.revokedThrough + 1);
  const fields = `${ledger.address}_${ledger.instance}_${nonce}_${expiresAt}`;
  return `${fields}_${mac(ledger.key, fields)}`;
}
