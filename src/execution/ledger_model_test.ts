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

type Fate = {
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

const FULL = { maxExecutions: 4, maxCachedBytes: 1_200 };
/** Without a size, fast-check keeps arrays too short to fill the ledger. */
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
/** Without these, few tokens are finished before a jump makes them expire. */
const FREQUENT = [
  "issue",
  "admit",
  "claim",
  "admit",
  "claim",
  "answer",
] as const;

function world(t: ExecutionContext) {
  let ledger = createLedger("a", FULL);
  let now = 0;
  const fates: Fate[] = [];

  function tell(fate: Fate, result: CachedResponse | Outcome): void {
    if (!("kind" in result)) {
      return void t.true(`${result.body}` === fate.body);
    }
    if (result.kind === "unknown") fate.unknown = true;
    if (result.kind !== "not-run") return;
    fate.notRun = true;
    t.is(fate.runs, 0, "`not-run` was said of a token that ran");
  }

  function claim(fate: Fate): void {
    if (!claimToken(ledger, fate.nonce, now)) return;
    fate.runs += 1;
    fate.running = true;
    t.true(now < fate.expiresAt, "a token ran after its expiry");
    t.is(fate.runs, 1, "a token ran twice");
    t.false(fate.notRun, "a token ran after `not-run`");
    t.false(fate.unknown, "a token ran after `unknown`");
  }

  function finish(fate: Fate, result: CachedResponse | Outcome): void {
    if (!fate.running) return;
    fate.running = false;
    if (!("kind" in result)) fate.body = `${result.body}`;
    // No byte reached the backend server, so this was no run.
    else if (result.kind === "not-run") fate.runs = 0;
    finishExecution(ledger, fate.nonce, result);
    t.is(fate.waiters.length, 0, "a waiter was not told");
  }

  function join(fate: Fate): void {
    const waiter: Waiter = (result) => {
      // Fails for one that left as well as for one that was called before.
      t.true(fate.waiters.includes(waiter), "a waiter was called again");
      fate.waiters = fate.waiters.filter((other) => other !== waiter);
      tell(fate, result);
    };
    // A resend reaches the daemon as a token to admit; only a known one joins.
    const admission = admitToken(ledger, fate.text, now);
    if (admission.kind === "rejected") return tell(fate, admission.outcome);
    const result = joinExecution(ledger, fate.nonce, waiter);
    if (result === null) fate.waiters.push(waiter);
    else tell(fate, result);
  }

  function jump(size: number): void {
    now += [1, 500, 20_000, 20_000, 69_000, 200_000][size % 6]!;
  }

  const handlers: Record<
    typeof EVENTS[number],
    (fate: Fate, size: number) => void
  > = {
    "issue": () => {
      const text = issueToken(ledger, now);
      const rest = { runs: 0, running: false, notRun: false };
      const [, , nonce, expiresAt] = text.split("_");
      fates.push({
        text,
        nonce: nonce!,
        expiresAt: Number(expiresAt),
        waiters: [],
        unknown: false,
        body: null,
        ...rest,
      });
    },
    "admit": (fate) => {
      const admission = admitToken(ledger, fate.text, now);
      if (admission.kind === "rejected") tell(fate, admission.outcome);
    },
    claim,
    "revoke": (fate) => revokeToken(ledger, fate.nonce),
    "answer": (fate, size) => {
      const body = Buffer.alloc(size % 3 === 0 ? 70_000 : 100, `${size}`);
      finish(fate, { status: 200, headers: {}, body });
    },
    "fail": (fate) =>
      finish(fate, { kind: "unknown", reason: "connection-lost" }),
    "no-connection": (fate) =>
      finish(fate, { kind: "not-run", reason: "connect-failed" }),
    join,
    "leave": (fate) => {
      const waiter = fate.waiters.pop();
      if (waiter) leaveExecution(ledger, fate.nonce, waiter);
    },
    "sweep": () => sweepLedger(ledger, now),
    "jump": (_, size) => jump(size),
    "restart": (_, size) => {
      // Rarer than the others: the waiters are lost with the process.
      if (size % 5 > 0) return;
      ledger = createLedger("a", FULL);
      for (const fate of fates) {
        fate.waiters = [];
        fate.running = false;
      }
    },
  };
  handlers.issue(null as never, 0);
  return (kind: typeof EVENTS[number], at: number, size: number): void => {
    // The latest tokens matter most; earlier ones have expired.
    const back = at % Math.min(fates.length, 10);
    handlers[kind](fates[fates.length - 1 - back]!, size);
    t.true(ledger.executions.size <= FULL.maxExecutions);
    t.true(ledger.cachedBytes >= 0);
    t.true(ledger.cachedBytes <= FULL.maxCachedBytes);
  };
}

test("token runs twice, after `not-run` or after `unknown`", (t) => {
  const event = fc.tuple(
    fc.constantFrom(...EVENTS, ...FREQUENT),
    fc.nat(9),
    fc.nat(99),
  );
  fc.assert(
    fc.property(fc.array(event, LONG), (events) => {
      const step = world(t);
      for (const [kind, at, size] of events) step(kind, at, size);
    }),
    { numRuns: 1_000 },
  );
});
