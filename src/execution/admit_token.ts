import { timingSafeEqual } from "node:crypto";
import type { Outcome } from "../outcomes/outcome.ts";
import type { Execution } from "./execution.ts";
import type { Ledger } from "./ledger.ts";
import { mac } from "./mac.ts";
import { parseToken } from "./parse_token.ts";

/** What to do with a request that carries an execution token. */
type Admission =
  | { kind: "new"; nonce: string }
  | { kind: "seen"; execution: Execution }
  | { kind: "rejected"; outcome: Outcome };

/**
 * Checks a presented token and records it as queued where it is new.
 * A token of another process of this address answers `unknown`: that process
 * may have run it. An expired one that is no longer remembered does as well.
 */
export function admitToken(
  ledger: Ledger,
  text: string,
  now: number,
): Admission {
  const token = parseToken(text);
  if (token === null || token.address !== ledger.address) {
    return rejected({ kind: "not-run", reason: "token-invalid" });
  }
  if (token.instance !== ledger.instance) {
    return rejected({ kind: "unknown", reason: "old-incarnation" });
  }
  const fields =
    `${token.address}_${token.instance}_${token.nonce}_${token.expiresAt}`;
  const expected = mac(ledger.key, fields);
  if (!timingSafeEqual(Buffer.from(expected), Buffer.from(token.mac))) {
    return rejected({ kind: "not-run", reason: "token-invalid" });
  }
  const known = ledger.executions.get(token.nonce);
  if (known !== undefined) return { kind: "seen", execution: known };
  if (now >= token.expiresAt) {
    return rejected({ kind: "unknown", reason: "response-gone" });
  }
  ledger.executions.set(token.nonce, {
    state: "queued",
    expiresAt: token.expiresAt,
    waiters: [],
  });
  return { kind: "new", nonce: token.nonce };
}

function rejected(outcome: Outcome): Admission {
  return { kind: "rejected", outcome };
}
