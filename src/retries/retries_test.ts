import test from "ava";
import fc from "fast-check";
import type { Account } from "./account.ts";
import { allocate } from "./allocate.ts";
import { classifySend } from "./classify_send.ts";
import { closeAccount } from "./close_account.ts";
import { createResends } from "./create_resends.ts";
import { openAccount } from "./open_account.ts";
import { reclaim } from "./reclaim.ts";
import { resendLimits } from "./resend_limits.ts";
import { spend } from "./spend.ts";
import type { AllocationPolicy } from "./allocation_policy.ts";
import { sweepResends } from "./sweep_resends.ts";

type Call = { account: Account; parent: Call | null; allocated: number };

test("retries of one request never exceed the R allocated to it", (t) => {
  const step = fc.record({
    kind: fc.constantFrom("call", "retry", "answer", "lose"),
    call: fc.nat(),
    split: fc.constantFrom<AllocationPolicy>(
      "half",
      "all",
      "keep-one",
      "keep-quarter",
    ),
  });
  fc.assert(
    fc.property(
      fc.nat(20),
      fc.array(step, { maxLength: 300, size: "max" }),
      (R, steps) => {
        const root = { account: openAccount(R), parent: null, allocated: R };
        const calls: Call[] = [root];
        let retries = 0;
        for (const { kind, call, split } of steps) {
          const at = calls[call % calls.length]!;
          if (kind === "retry" && !spend(at.account)) continue;
          if (kind === "retry") retries += 1;
          if (kind === "call" || kind === "retry") {
            const allocated = allocate(at.account, split);
            calls.push({
              account: openAccount(allocated),
              parent: at,
              allocated,
            });
          } else if (at.account.open) {
            const unspent = closeAccount(at.account);
            if (kind === "answer" && at.parent !== null) {
              const { allocated } = at;
              reclaim(at.parent.account, { allocated, unspent });
            }
          }
          const held = calls.reduce(
            (sum, { account }) => sum + account.held,
            0,
          );
          t.true(retries + held <= R);
        }
      },
    ),
    { numRuns: 300 },
  );
});

test("excessive or invalid numbers of retries never raise an account above its initial retries", (t) => {
  for (const unspent of [100, -1, 0.5, NaN, Infinity]) {
    const account = openAccount(8);
    const allocated = allocate(account, "half");
    reclaim(account, { allocated, unspent });
    t.true(account.held === 4 || account.held === 8);
  }
  t.is(openAccount(-3).held + openAccount(2.5).held, 0);
});

test("resends of a caller stay within its bucket and never block first sends", (t) => {
  const resends = createResends();
  const send = { caller: "a", requestId: "1" };
  t.is(classifySend(resends, send, 0), "first");
  let allowed = 0;
  for (let i = 0; i < 50; i++) {
    if (classifySend(resends, send, 0) === "resend") allowed += 1;
  }
  t.is(allowed, resendLimits.burst);
  t.is(classifySend(resends, { caller: "a", requestId: "2" }, 0), "first");
  t.is(classifySend(resends, { caller: "b", requestId: "1" }, 0), "first");
  t.is(classifySend(resends, send, 1_000), "resend");
  t.is(classifySend(resends, send, 1_000), "denied");
  sweepResends(resends, 1_000 + resendLimits.retentionMs);
  t.is(resends.callers.size + resends.size, 0);
});

test("one caller neither evicts the ids of others nor exceeds the memory limits", (t) => {
  const resends = createResends();
  classifySend(resends, { caller: "b", requestId: "kept" }, 0);
  for (let i = 0; i < resendLimits.ids + 500; i++) {
    classifySend(resends, { caller: "a", requestId: `${i}` }, 1);
  }
  t.is(resends.size, resendLimits.ids);
  t.is(resends.callers.get("b")?.sentAt.size, 1);
  for (let i = 0; i < resendLimits.callers + 50; i++) {
    classifySend(resends, { caller: `c${i}`, requestId: "1" }, 2);
  }
  t.is(resends.callers.size, resendLimits.callers);
  const ids = [...resends.callers.values()].map(({ sentAt }) => sentAt.size);
  t.is(ids.reduce((sum, size) => sum + size, 0), resends.size);
});
