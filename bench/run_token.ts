import { admitToken } from "../src/execution/admit_token.ts";
import { claimToken } from "../src/execution/claim_token.ts";
import { finishExecution } from "../src/execution/finish_execution.ts";
import { issueToken } from "../src/execution/issue_token.ts";
import type { Ledger } from "../src/execution/ledger.ts";

const RESPONSE_BYTES = 200;

/** Takes one request through the ledger; returns whether it ran. */
export function runToken(ledger: Ledger, now: number): boolean {
  const admission = admitToken(ledger, issueToken(ledger, now), now);
  if (admission.kind !== "new") return false;
  const { nonce } = admission;
  if (!claimToken(ledger, nonce, now)) return false;
  const body = Buffer.alloc(RESPONSE_BYTES);
  finishExecution(ledger, nonce, { status: 200, headers: {}, body });
  return true;
}
