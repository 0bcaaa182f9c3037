import test from "ava";
import { createByteBudget } from "./create_byte_budget.ts";
import { createByteReservation } from "./create_byte_reservation.ts";

test("an owner alone holds half of the budget at most", (t) => {
  const budget = createByteBudget(100);
  const hold = createByteReservation(budget);
  t.true(hold.resize(50));
  t.false(hold.resize(51));
  t.is(budget.reserved(), 50);
  t.true(hold.resize(0));
  t.is(budget.reserved(), 0);
});

test("owners that grow without end leave room for one more", (t) => {
  const budget = createByteBudget(1_000);
  const holds = Array.from({ length: 9 }, () => createByteReservation(budget));
  const held = holds.map(() => 0);
  for (let round = 0; round < 1_000; round++) {
    for (const [i, hold] of holds.entries()) {
      if (hold.resize(held[i]! + 1)) held[i]!++;
    }
  }
  t.deepEqual(held, holds.map(() => 100));
  t.true(createByteReservation(budget).resize(50));
});
