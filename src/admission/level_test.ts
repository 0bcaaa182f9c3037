import test from "ava";
import { settleOne } from "../../test/support/settle_one.ts";
import { ticket } from "../../test/support/ticket.ts";
import type { Admission } from "./admission.ts";
import { createAdmission } from "./create_admission.ts";
import { levelFor } from "./level_for.ts";
import { offer } from "./offer.ts";
import { tick } from "./tick.ts";

/** Offers so many requests of each priority in every tick of 50 ms. */
function load(
  admission: Admission,
  { ticks, from, each }: { ticks: number; from: number; each: () => void },
): void {
  for (let at = 1; at <= ticks; at++) {
    const now = from + at * 50;
    for (let ms = 0; ms < 50; ms++) {
      each();
      // 10 slots of 10 ms serve one request a ms.
      if (admission.inFlight > 0) settleOne(admission, now);
    }
    tick(admission, now);
  }
}

/** Offers a request of each cohort in turn. */
function inTurn(admission: Admission, department: string, rank = 0) {
  let cohort = 0;
  return () => {
    cohort = (cohort + 37) % 128;
    const priority = rank * 128 + cohort;
    return offer(admission, ticket({ priority, department }), 0);
  };
}

test("level outlasts the overload by more than half a second", (t) => {
  const admission = createAdmission(10);
  const flood = inTurn(admission, "harvest");
  load(admission, {
    ticks: 20,
    from: 0,
    each: () => [1, 2, 3].forEach(() => flood()),
  });
  t.true(admission.level > 40 && admission.level <= 128);
  load(admission, { ticks: 10, from: 1000, each: () => {} });
  t.is(admission.level, 0);
});

test("one step of the level sheds critical work with sheddable work", (t) => {
  const admission = createAdmission(10);
  const both = [inTurn(admission, "a"), inTurn(admission, "a", 2)];
  const step = (from: number) =>
    load(admission, {
      ticks: 1,
      from,
      each: () => {
        for (let index = 0; index < 20; index++) both.forEach((one) => one());
      },
    });
  // Overflow of critical work raises the level to its class, not into it.
  step(0);
  t.is(admission.level, 256);
  step(50);
  t.true(admission.level > 256);
});

test("flood of one department sheds the few requests of another", (t) => {
  const admission = createAdmission(10);
  const flood = inTurn(admission, "flooding");
  const few = inTurn(admission, "modest");
  let turn = 0;
  let rejected = 0;
  const each = () => {
    for (let index = 0; index < 5; index++) flood();
    turn += 1;
    if (turn % 5 !== 0) return;
    if (few().kind === "rejected" && turn > 500) rejected += 1;
  };
  load(admission, { ticks: 40, from: 0, each });
  t.true(levelFor(admission, "flooding") > levelFor(admission, "modest"));
  t.is(rejected, 0);
});
