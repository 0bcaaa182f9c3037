import test from "ava";
import fc from "fast-check";
import { settleOne } from "../../test/support/settle_one.ts";
import { ticket } from "../../test/support/ticket.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { LIMIT_ALGORITHMS } from "./limit_algorithms.ts";
import { createAdmission } from "./create_admission.ts";
import { minLimit } from "./min_limit.ts";
import type { Limiter } from "./limiter.ts";
import { offer } from "./offer.ts";
import { tick } from "./tick.ts";

// A fixed seed makes the generated cases the same in every run.
fc.configureGlobal({ seed: 1, numRuns: 200 });

const SHED: Outcome = { kind: "not-run", reason: "server-shed" };
const LOST: Outcome = { kind: "unknown", reason: "connection-lost" };
const CANCELLED: Outcome = { kind: "unknown", reason: "cancelled" };
const ANSWERED: Outcome = { kind: "answered", status: 200 };

/** Returns the limit after `ticks` ticks with one such outcome each. */
function limitAfter(outcome: Outcome, ticks: number): number {
  const admission = createAdmission(100);
  for (let index = 1; index <= ticks; index++) {
    offer(admission, ticket(), index * 50);
    settleOne(admission, index * 50, outcome);
    tick(admission, index * 50);
  }
  return admission.limit;
}

test("server that sheds or does not respond reduces the limit", (t) => {
  for (const outcome of [SHED, LOST]) t.is(limitAfter(outcome, 50), 4);
});

test("cancellation by the caller does not reduce the limit", (t) => {
  t.is(limitAfter(CANCELLED, 50), 100);
});

test("limit stays within its bounds", (t) => {
  const names = Object.keys(LIMIT_ALGORITHMS) as Limiter["algorithm"][];
  fc.assert(fc.property(
    fc.constantFrom(...names),
    fc.integer({ min: 1, max: 300 }),
    fc.array(fc.constantFrom(ANSWERED, SHED, LOST), { maxLength: 200 }),
    (algorithm, slots, outcomes) => {
      const admission = createAdmission(slots);
      admission.limiter.algorithm = algorithm;
      outcomes.forEach((outcome, index) => {
        offer(admission, ticket(), index * 50);
        settleOne(admission, index * 50, outcome);
        tick(admission, index * 50);
        const { limit } = admission;
        t.true(limit >= minLimit(slots) && limit <= slots);
      });
    },
  ));
});
