import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import type { Outcome } from "../outcomes/outcome.ts";
import { admitToken } from "./admit_token.ts";
import type { CachedResponse } from "./cached_response.ts";
import { claimToken } from "./claim_token.ts";
import { createLedger } from "./create_ledger.ts";
import { finishExecution } from "./finish_execution.ts";
import { issueToken } from "./issue_token.ts";
import { joinExecution } from "./join_execution.ts";
import { leaveExecution } from "./leave_execution.ts";
import { revokeToken } from "./revoke_token.ts";
import { sweepLedger } from "./sweep_ledger.ts";
import type { Waiter } from "./waiter.ts";

/** What the model expects of one token. */
type ModelToken = {
  text: string;
  nonce: string;
  expiresAt: number;
  runs: number;
  running: boolean;
  notRun: boolean;
  unknown: boolean;
  body: string | null;
  waiters: Waiter[];
};

/** Limits that a generated run reaches. */
const SMALL_LIMITS = { maxExecutions: 4, maxCachedBytes: 1_200 };
/** Without `size`, fast-check keeps arrays too short to fill the ledger. */
const LONG = { minLength: 20, maxLength: 200, size: "max" } as const;
const EVENTS = [
  "issue",
  "admit",
  "claim",
  "revoke",
  "answer",
  "fail",
  "no-connection",
  "join",
  "leave",
  "sweep",
  "jump",
  "restart",
] as const;
/**
 * More of these events: otherwise few tokens finish before a jump of the clock
 * makes them expire.
 */
const FREQUENT = [
  "issue",
  "admit",
  "claim",
  "admit",
  "claim",
  "answer",
] as const;

function createModel(t: ExecutionContext) {
  let ledger = createLedger("a", SMALL_LIMITS);
  let now = 0;
  const tokens: ModelToken[] = [];

  function check(token: ModelToken, result: CachedResponse | Outcome): void {
    if (!("kind" in result)) {
      return void t.true(`${result.body}` === token.body);
    }
    if (result.kind === "unknown") token.unknown = true;
    if (result.kind !== "not-run") return;
    token.notRun = true;
    t.is(token.runs, 0, "`not-run` was reported for a token that ran");
  }

  function claim(token: ModelToken): void {
    if (!claimToken(ledger, token.nonce, now)) return;
    token.runs += 1;
    token.running = true;
    t.true(now < token.expiresAt, "a token ran after its expiry");
    t.is(token.runs, 1, "a token ran twice");
    t.false(token.notRun, "a token ran after `not-run`");
    t.false(token.unknown, "a token ran after `unknown`");
  }

  function finish(token: ModelToken, result: CachedResponse | Outcome): void {
    if (!token.running) return;
    token.running = false;
    if (!("kind" in result)) token.body = `${result.body}`;
    // No byte reached the backend server, so this was no run.
    else if (result.kind === "not-run") token.runs = 0;
    finishExecution(ledger, token.nonce, result);
    t.is(token.waiters.length, 0, "a waiter was not called");
  }

  function join(token: ModelToken): void {
    const waiter: Waiter = (result) => {
      // Fails both for a waiter that left and for one that was already called.
      t.true(token.waiters.includes(waiter), "a waiter was called again");
      token.waiters = token.waiters.filter((other) => other !== waiter);
      check(token, result);
    };
    // A resend first has its token admitted; it joins only if the token is
    // known.
    const admission = admitToken(ledger, token.text, now);
    if (admission.kind === "rejected") return check(token, admission.outcome);
    const result = joinExecution(ledger, token.nonce, waiter);
    if (result === null) token.waiters.push(waiter);
    else check(token, result);
  }

  function jump(size: number): void {
    now += [1, 500, 20_000, 20_000, 69_000, 200_000][size % 6]!;
  }

  const handlers: Record<
    typeof EVENTS[number],
    (token: ModelToken, size: number) => void
  > = {
    "issue": () => {
      const text = issueToken(ledger, now);
      const rest = { runs: 0, running: false, notRun: false };
      const [, , nonce, expiresAt] = text.split("_");
      tokens.push({
        text,
        nonce: nonce!,
        expiresAt: Number(expiresAt),
        waiters: [],
        unknown: false,
        body: null,
        ...rest,
      });
    },
    "admit": (token) => {
      const admission = admitToken(ledger, token.text, now);
      if (admission.kind === "rejected") check(token, admission.outcome);
    },
    claim,
    "revoke": (token) => revokeToken(ledger, token.nonce),
    "answer": (token, size) => {
      const body = Buffer.alloc(size % 3 === 0 ? 70_000 : 100, `${size}`);
      finish(token, { status: 200, headers: {}, body });
    },
    "fail": (token) =>
      finish(token, { kind: "unknown", reason: "connection-lost" }),
    "no-connection": (token) =>
      finish(token, { kind: "not-run", reason: "connect-failed" }),
    join,
    "leave": (token) => {
      const waiter = token.waiters.pop();
      if (waiter) leaveExecution(ledger, token.nonce, waiter);
    },
    "sweep": () => sweepLedger(ledger, now),
    "jump": (_, size) => jump(size),
    "restart": (_, size) => {
      // Rarer than the others: the waiters are lost with the process.
      if (size % 5 > 0) return;
      ledger = createLedger("a", SMALL_LIMITS);
      for (const token of tokens) {
        token.waiters = [];
        token.running = false;
      }
    },
  };
  handlers.issue(null as never, 0);
  return (kind: typeof EVENTS[number], at: number, size: number): void => {
    // The latest tokens matter most; earlier ones have expired.
    const back = at % Math.min(tokens.length, 10);
    handlers[kind](tokens[tokens.length - 1 - back]!, size);
    t.true(ledger.executions.size <= SMALL_LIMITS.maxExecutions);
    t.true(ledger.cachedBytes >= 0);
    t.true(ledger.cachedBytes <= SMALL_LIMITS.maxCachedBytes);
  };
}

test("no token runs twice, after `not-run` or after `unknown`", (t) => {
  const event = fc.tuple(
    fc.constantFrom(...EVENTS, ...FREQUENT),
    fc.nat(9),
    fc.nat(99),
  );
  fc.assert(
    fc.property(fc.array(event, LONG), (events) => {
      const step = createModel(t);
      for (const [kind, at, size] of events) step(kind, at, size);
    }),
    { numRuns: 1_000 },
  );
});
