import test from "ava";
import { admitToken } from "./admit_token.ts";
import { claimToken } from "./claim_token.ts";
import { createLedger } from "./create_ledger.ts";
import { createTokenCache } from "./create_token_cache.ts";
import { assignStepToken } from "./assign_step_token.ts";
import { dropTokens } from "./drop_tokens.ts";
import { finishExecution } from "./finish_execution.ts";
import { issueToken } from "./issue_token.ts";
import { joinExecution } from "./join_execution.ts";
import { leaveExecution } from "./leave_execution.ts";
import type { Ledger } from "./ledger.ts";
import { revokeToken } from "./revoke_token.ts";
import { addTokens } from "./add_tokens.ts";
import { sweepLedger } from "./sweep_ledger.ts";
import { takeToken } from "./take_token.ts";
import { TOKEN_LIFETIME_MS } from "./token_lifetime_ms.ts";

function admitted(ledger: Ledger, now = 0): { text: string; nonce: string } {
  const text = issueToken(ledger, now);
  const admission = admitToken(ledger, text, now);
  if (admission.kind !== "new") throw new Error("The token was not admitted");
  return { text, nonce: admission.nonce };
}

function answer(length: number) {
  const headers = { "nutmegmoor-tokens": "t", "x-a": "1" };
  return { status: 200, headers, body: Buffer.alloc(length) };
}

test("token that expired while the process was paused runs", (t) => {
  const ledger = createLedger("a");
  const { nonce, text } = admitted(ledger);
  const told: unknown[] = [];
  joinExecution(ledger, nonce, (result) => told.push(result));
  t.false(claimToken(ledger, nonce, TOKEN_LIFETIME_MS));
  const expired = { kind: "not-run", reason: "token-expired" };
  t.deepEqual(told, [expired]);
  t.false(claimToken(ledger, nonce, 0));
  const late = issueToken(ledger, 0);
  const admission = admitToken(ledger, late, TOKEN_LIFETIME_MS);
  t.like(admission, { kind: "rejected", outcome: expired });
  sweepLedger(ledger, 2 * TOKEN_LIFETIME_MS);
  t.is(ledger.executions.size, 0);
  t.like(admitToken(ledger, text, 2 * TOKEN_LIFETIME_MS), {
    outcome: { kind: "unknown", reason: "response-gone" },
  });
});

test("token of another address or process is reported as not run", (t) => {
  const text = issueToken(createLedger("b"), 0);
  for (const address of ["a", "b"]) {
    const admission = admitToken(createLedger(address), text, 0);
    t.like(admission, { kind: "rejected", outcome: { kind: "unknown" } });
  }
  const ledger = createLedger("b");
  const forged = issueToken(ledger, 0).replace(/_\d+_/, "_99999999_");
  t.like(admitToken(ledger, forged, 0), {
    outcome: { kind: "not-run", reason: "token-invalid" },
  });
});

test("full ledger forgets a run or runs a refused token later", (t) => {
  const ledger = createLedger("a", { maxExecutions: 1 });
  const early = issueToken(ledger, 0);
  const { nonce, text } = admitted(ledger);
  const refused = issueToken(ledger, 5);
  const overload = { kind: "not-run", reason: "overload" };
  t.like(admitToken(ledger, refused, 5), { outcome: overload });
  t.true(claimToken(ledger, nonce, 5));
  t.is(admitToken(ledger, text, 5).kind, "seen");
  ledger.executions.clear();
  for (const old of [refused, early]) {
    const revoked = { kind: "not-run", reason: "token-revoked" };
    t.like(admitToken(ledger, old, 5), { outcome: revoked });
  }
  t.is(admitToken(ledger, issueToken(ledger, 5), 5).kind, "new");
});

test("large response is kept, or lost to those who wait for it", (t) => {
  const ledger = createLedger("a", { maxCachedBytes: 100_000 });
  const gone = { kind: "unknown", reason: "response-gone" };
  const lengths = [65_537, 60_000, 60_000];
  const kept = lengths.map((length) => {
    const { nonce } = admitted(ledger);
    const told: number[] = [];
    joinExecution(ledger, nonce, () => told.push(1));
    joinExecution(ledger, nonce, () => told.push(2));
    const left = () => told.push(3);
    joinExecution(ledger, nonce, left);
    claimToken(ledger, nonce, 0);
    leaveExecution(ledger, nonce, left);
    finishExecution(ledger, nonce, answer(length));
    t.deepEqual(told, [1, 2]);
    return joinExecution(ledger, nonce, () => t.fail());
  });
  t.deepEqual([kept[0], kept[2]], [gone, gone] as never);
  t.like(kept[1], { headers: { "x-a": "1" } });
  t.deepEqual(Object.keys((kept[1] as never)["headers"]), ["x-a"]);
  sweepLedger(ledger, 2 * TOKEN_LIFETIME_MS);
  t.is(ledger.cachedBytes, 0);
});

test("sweep of a large ledger skips entries", (t) => {
  const ledger = createLedger("a");
  for (let i = 0; i < 50_000; i++) {
    ledger.executions.set(`${i}`, {
      state: "ended",
      expiresAt: 0,
      outcome: { kind: "not-run", reason: "token-revoked" },
    });
  }
  // A batch shrinks with the ledger, down to the smallest one.
  for (let i = 0; i < 30; i++) sweepLedger(ledger, TOKEN_LIFETIME_MS);
  t.is(ledger.executions.size, 0);
});

test("nested step gets a second token", (t) => {
  const ledger = createLedger("a");
  const { nonce: parent } = admitted(ledger);
  const call = (step: string, fresh: string | null, refused?: string) =>
    assignStepToken(ledger, { parent, step, fresh, refused });
  t.is(call("pay", "t1").kind, "rejected");
  claimToken(ledger, parent, 0);
  t.is(call("pay", null).kind, "missing");
  const first = { kind: "token", token: "t1" };
  t.deepEqual(call("pay", "t1") as unknown, first);
  t.deepEqual(call("pay", "t2") as unknown, first);
  t.like(call("ship", "t3"), { token: "t3" });
  t.like(call("pay", "t4", "t1"), { token: "t4" });
  t.like(call("pay", "t5", "t1"), { token: "t4" });
  for (let i = 0; i < 62; i++) call(`s${i}`, "t");
  t.like(call("one-more", "t"), { outcome: { kind: "not-run" } });
  finishExecution(ledger, parent, answer(1));
  t.like(call("pay", "t6"), { outcome: { kind: "unknown" } });
});

test("stock hands out a token twice, near expiry or of an old process", (t) => {
  const ledger = createLedger("a");
  const stock = createTokenCache();
  const old = issueToken(createLedger("a"), 0);
  const [one, two] = [issueToken(ledger, 0), issueToken(ledger, 0)];
  const foreign = issueToken(createLedger("b"), 0);
  const tokens = [old, one!, one!, foreign, "malformed"];
  addTokens(stock, { peer: "a", tokens }, 0);
  t.is(takeToken(stock, { peer: "a" }, 0), one!);
  t.is(takeToken(stock, { peer: "a" }, 0), null);
  addTokens(stock, { peer: "a", tokens: [two!] }, 0);
  t.is(takeToken(stock, { peer: "a" }, TOKEN_LIFETIME_MS - 1_000), null);
  for (let i = 0; i < 300; i++) {
    const tokens = Array.from(
      { length: 50 },
      () => issueToken(createLedgerOf(`${i}`), 0),
    );
    addTokens(stock, { peer: `${i}`, tokens }, 0);
  }
  t.is(stock.peers.size, 256);
  t.is(stock.peers.get("299")?.tokens.length, 16);
  dropTokens(stock, "299");
  t.is(takeToken(stock, { peer: "299" }, 0), null);
});

test("stocked token of a restarted peer is handed out", (t) => {
  const before = createLedger("a");
  const after = createLedger("a");
  const stock = createTokenCache();
  addTokens(stock, { peer: "a", tokens: [issueToken(before, 0)] }, 0);
  t.is(takeToken(stock, { peer: "a", instance: after.instance }, 0), null);
  t.is(takeToken(stock, { peer: "a" }, 0), null);
  const token = issueToken(after, 0);
  addTokens(stock, { peer: "a", tokens: [token] }, 0);
  t.is(takeToken(stock, { peer: "a", instance: after.instance }, 0), token);
});

const ledgers = new Map<string, Ledger>();

function createLedgerOf(address: string): Ledger {
  const ledger = ledgers.get(address) ?? createLedger(address);
  ledgers.set(address, ledger);
  return ledger;
}

test("revoked token is claimed", (t) => {
  const ledger = createLedger("a");
  const { nonce } = admitted(ledger);
  revokeToken(ledger, nonce);
  t.false(claimToken(ledger, nonce, 0));
});
