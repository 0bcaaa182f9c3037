import test from "ava";
import { createByteBudget } from "./create_byte_budget.ts";
import { createByteReservation } from "./create_byte_reservation.ts";

test("a single owner reserves at most half of the budget", (t) => {
  const budget = createByteBudget(100);
  const reservation = createByteReservation(budget);
  t.true(reservation.resize(50));
  t.false(reservation.resize(51));
  t.is(budget.reserved(), 50);
  t.true(reservation.resize(0));
  t.is(budget.reserved(), 0);
});

test("owners that keep growing leave room for another one", (t) => {
  const budget = createByteBudget(1_000);
  const reservations = Array.from(
    { length: 9 },
    () => createByteReservation(budget),
  );
  const sizes = reservations.map(() => 0);
  for (let round = 0; round < 1_000; round++) {
    for (const [index, reservation] of reservations.entries()) {
      if (reservation.resize(sizes[index]! + 1)) sizes[index]!++;
    }
  }
  t.deepEqual(sizes, reservations.map(() => 100));
  t.true(createByteReservation(budget).resize(50));
});
