import test from "ava";
import { settleOne } from "../../test/support/settle_one.ts";
import { ticket } from "../../test/support/ticket.ts";
import type { Admission } from "./admission.ts";
import { createAdmission } from "./create_admission.ts";
import { levelFor } from "./level_for.ts";
import { offer } from "./offer.ts";
import { tick } from "./tick.ts";

/**
 * Calls `each` once per ms and finishes a request per ms, with ticks of 50 ms.
 */
function simulate(
  admission: Admission,
  { ticks, from, each }: { ticks: number; from: number; each: () => void },
): void {
  for (let index = 1; index <= ticks; index++) {
    const now = from + index * 50;
    for (let ms = 0; ms < 50; ms++) {
      each();
      // 10 slots with a service time of 10 ms serve one request per ms.
      if (admission.inFlight > 0) settleOne(admission, now);
    }
    tick(admission, now);
  }
}

/**
 * Returns a function that offers a request, of a different cohort each time.
 */
function offerInTurn(admission: Admission, department: string, rank = 0) {
  let cohort = 0;
  return () => {
    cohort = (cohort + 37) % 128;
    const priority = rank * 128 + cohort;
    return offer(admission, ticket({ priority, department }), 0);
  };
}

test("level falls to 0 within half a second after the overload", (t) => {
  const admission = createAdmission(10);
  const flood = offerInTurn(admission, "harvest");
  simulate(admission, {
    ticks: 20,
    from: 0,
    each: () => [1, 2, 3].forEach(() => flood()),
  });
  t.true(admission.level > 40 && admission.level <= 128);
  simulate(admission, { ticks: 10, from: 1000, each: () => {} });
  t.is(admission.level, 0);
});

test("level does not rise into a higher class in a single step", (t) => {
  const admission = createAdmission(10);
  const both = [offerInTurn(admission, "a"), offerInTurn(admission, "a", 2)];
  const step = (from: number) =>
    simulate(admission, {
      ticks: 1,
      from,
      each: () => {
        for (let index = 0; index < 20; index++) both.forEach((one) => one());
      },
    });
  // Overflow of critical requests first raises the level only to the start of
  // their class.
  step(0);
  t.is(admission.level, 256);
  step(50);
  t.true(admission.level > 256);
});

test("a flood from one department does not shed requests of another", (t) => {
  const admission = createAdmission(10);
  const flood = offerInTurn(admission, "flooding");
  const few = offerInTurn(admission, "small");
  let turn = 0;
  let rejected = 0;
  const each = () => {
    for (let index = 0; index < 5; index++) flood();
    turn += 1;
    if (turn % 5 !== 0) return;
    if (few().kind === "rejected" && turn > 500) rejected += 1;
  };
  simulate(admission, { ticks: 40, from: 0, each });
  t.true(levelFor(admission, "flooding") > levelFor(admission, "small"));
  t.is(rejected, 0);
});
