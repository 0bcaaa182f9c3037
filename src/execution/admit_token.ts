import type { Outcome } from "../outcomes/outcome.ts";
import type { Execution } from "./execution.ts";
import type { Ledger } from "./ledger.ts";
import { parseToken } from "./parse_token.ts";
import type { Token } from "./token.ts";
import { verifyToken } from "./verify_token.ts";

/** How to handle a request that carries an execution token. */
type Admission =
  | { kind: "new"; nonce: string }
  | { kind: "seen"; nonce: string; execution: Execution }
  | { kind: "rejected"; outcome: Outcome };

/**
 * Checks a presented token and records it as queued if it is new. A token of
 * another process yields `unknown`, since that process may have run it.
 * `not-run` is final: the token will not run later either.
 */
export function admitToken(
  ledger: Ledger,
  text: string,
  now: number,
): Admission {
  const token = parseToken(text);
  if (token === null) {
    return rejected({ kind: "not-run", reason: "token-invalid" });
  }
  if (token.address !== ledger.address || token.instance !== ledger.instance) {
    return rejected({ kind: "unknown", reason: "old-incarnation" });
  }
  if (!verifyToken(ledger, token)) {
    return rejected({ kind: "not-run", reason: "token-invalid" });
  }
  const { nonce, expiresAt } = token;
  const execution = ledger.executions.get(nonce);
  if (execution !== undefined) return { kind: "seen", nonce, execution };
  const outcome = refusal(ledger, token, now);
  if (outcome !== null) return rejected(outcome);
  ledger.executions.set(copyString(nonce), {
    state: "queued",
    expiresAt,
    waiters: new Set(),
  });
  return { kind: "new", nonce };
}

/** Returns why a token without an entry cannot run, or null if it can. */
function refusal(
  ledger: Ledger,
  { expiresAt }: Token,
  now: number,
): Outcome | null {
  if (expiresAt < ledger.forgottenBefore) {
    return { kind: "unknown", reason: "response-gone" };
  }
  if (now >= expiresAt) return { kind: "not-run", reason: "token-expired" };
  if (expiresAt <= ledger.revokedThrough) {
    return { kind: "not-run", reason: "token-revoked" };
  }
  if (ledger.executions.size < ledger.maxExecutions) return null;
  // There is no room to record this refusal, and a copy of the token that
  // arrives late must not run. So every token that expires no later than this
  // one is revoked.
  ledger.revokedThrough = expiresAt;
  return { kind: "not-run", reason: "overload" };
}

/**
 * Copies a substring of a token, for which V8 would otherwise keep the whole
 * token alive. Saves about 80 bytes per entry.
 */
function copyString(text: string): string {
  return Buffer.from(text, "latin1").toString("latin1");
}

function rejected(outcome: Outcome): Admission {
  return { kind: "rejected", outcome };
}
