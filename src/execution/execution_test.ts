import test from "ava";
import { addTokens } from "./add_tokens.ts";
import { admitToken } from "./admit_token.ts";
import { assignStepToken } from "./assign_step_token.ts";
import { claimToken } from "./claim_token.ts";
import { createLedger } from "./create_ledger.ts";
import { createTokenCache } from "./create_token_cache.ts";
import { dropTokens } from "./drop_tokens.ts";
import { finishExecution } from "./finish_execution.ts";
import { issueToken } from "./issue_token.ts";
import { joinExecution } from "./join_execution.ts";
import { leaveExecution } from "./leave_execution.ts";
import type { Ledger } from "./ledger.ts";
import { revokeToken } from "./revoke_token.ts";
import { sweepLedger } from "./sweep_ledger.ts";
import { takeToken } from "./take_token.ts";
import { TOKEN_LIFETIME_MS } from "./token_lifetime_ms.ts";

function admitNewToken(
  ledger: Ledger,
  now = 0,
): { text: string; nonce: string } {
  const text = issueToken(ledger, now);
  const admission = admitToken(ledger, text, now);
  if (admission.kind !== "new") throw new Error("expected a new token");
  return { text, nonce: admission.nonce };
}

function responseOf(length: number) {
  const headers = { "nutmegmoor-tokens": "t", "x-a": "1" };
  return { status: 200, headers, body: Buffer.alloc(length) };
}

test("a token that expired while the process was paused doesn't run", (t) => {
  const ledger = createLedger("a");
  const { nonce, text } = admitNewToken(ledger);
  const results: unknown[] = [];
  joinExecution(ledger, nonce, (result) => results.push(result));
  t.false(claimToken(ledger, nonce, TOKEN_LIFETIME_MS));
  const expired = { kind: "not-run", reason: "token-expired" };
  t.deepEqual(results, [expired]);
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

test("a token of another address or process is unknown, a forged one invalid", (t) => {
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

test("a full ledger keeps its entries and never runs a refused token", (t) => {
  const ledger = createLedger("a", { maxExecutions: 1 });
  const early = issueToken(ledger, 0);
  const { nonce, text } = admitNewToken(ledger);
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

test("a response too large to cache still reaches its waiters", (t) => {
  const ledger = createLedger("a", { maxCachedBytes: 100_000 });
  const gone = { kind: "unknown", reason: "response-gone" };
  const lengths = [65_537, 60_000, 60_000];
  const kept = lengths.map((length) => {
    const { nonce } = admitNewToken(ledger);
    const results: number[] = [];
    joinExecution(ledger, nonce, () => results.push(1));
    joinExecution(ledger, nonce, () => results.push(2));
    const left = () => results.push(3);
    joinExecution(ledger, nonce, left);
    claimToken(ledger, nonce, 0);
    leaveExecution(ledger, nonce, left);
    finishExecution(ledger, nonce, responseOf(length));
    t.deepEqual(results, [1, 2]);
    return joinExecution(ledger, nonce, () => t.fail());
  });
  t.deepEqual([kept[0], kept[2]], [gone, gone] as never);
  t.like(kept[1], { headers: { "x-a": "1" } });
  t.deepEqual(Object.keys((kept[1] as never)["headers"]), ["x-a"]);
  sweepLedger(ledger, 2 * TOKEN_LIFETIME_MS);
  t.is(ledger.cachedBytes, 0);
});

test("sweeps of a large ledger visit all entries", (t) => {
  const ledger = createLedger("a");
  for (let i = 0; i < 50_000; i++) {
    ledger.executions.set(`${i}`, {
      state: "ended",
      expiresAt: 0,
      outcome: { kind: "not-run", reason: "token-revoked" },
    });
  }
  // Batches shrink with the ledger, down to the minimum size.
  for (let i = 0; i < 30; i++) sweepLedger(ledger, TOKEN_LIFETIME_MS);
  t.is(ledger.executions.size, 0);
});

test("a nested step keeps its token unless that was refused", (t) => {
  const ledger = createLedger("a");
  const { nonce: parent } = admitNewToken(ledger);
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
  finishExecution(ledger, parent, responseOf(1));
  t.like(call("pay", "t6"), { outcome: { kind: "unknown" } });
});

test("takeToken returns no used, nearly expired or outdated token", (t) => {
  const ledger = createLedger("a");
  const cache = createTokenCache();
  const old = issueToken(createLedger("a"), 0);
  const [one, two] = [issueToken(ledger, 0), issueToken(ledger, 0)];
  const foreign = issueToken(createLedger("b"), 0);
  const tokens = [old, one!, one!, foreign, "malformed"];
  addTokens(cache, { peer: "a", tokens }, 0);
  t.is(takeToken(cache, { peer: "a" }, 0), one!);
  t.is(takeToken(cache, { peer: "a" }, 0), null);
  addTokens(cache, { peer: "a", tokens: [two!] }, 0);
  t.is(takeToken(cache, { peer: "a" }, TOKEN_LIFETIME_MS - 1_000), null);
  for (let i = 0; i < 300; i++) {
    const tokens = Array.from(
      { length: 50 },
      () => issueToken(ledgerOf(`${i}`), 0),
    );
    addTokens(cache, { peer: `${i}`, tokens }, 0);
  }
  t.is(cache.peers.size, 256);
  t.is(cache.peers.get("299")?.tokens.length, 16);
  dropTokens(cache, "299");
  t.is(takeToken(cache, { peer: "299" }, 0), null);
});

test("cached tokens of a restarted peer are dropped", (t) => {
  const before = createLedger("a");
  const after = createLedger("a");
  const cache = createTokenCache();
  addTokens(cache, { peer: "a", tokens: [issueToken(before, 0)] }, 0);
  t.is(takeToken(cache, { peer: "a", instance: after.instance }, 0), null);
  t.is(takeToken(cache, { peer: "a" }, 0), null);
  const token = issueToken(after, 0);
  addTokens(cache, { peer: "a", tokens: [token] }, 0);
  t.is(takeToken(cache, { peer: "a", instance: after.instance }, 0), token);
});

const ledgers = new Map<string, Ledger>();

function ledgerOf(address: string): Ledger {
  const ledger = ledgers.get(address) ?? createLedger(address);
  ledgers.set(address, ledger);
  return ledger;
}

test("a revoked token can't be claimed", (t) => {
  const ledger = createLedger("a");
  const { nonce } = admitNewToken(ledger);
  revokeToken(ledger, nonce);
  t.false(claimToken(ledger, nonce, 0));
});
