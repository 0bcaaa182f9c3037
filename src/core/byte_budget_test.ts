import test from "ava";
import { createByteBudget } from "./create_byte_budget.ts";

test("reserves only what fits", (t) => {
  const budget = createByteBudget(10);
  t.true(budget.reserve(6));
  t.false(budget.reserve(5));
  t.is(budget.reserved(), 6);
  t.true(budget.reserve(4));
  t.is(budget.reserved(), budget.limit);
});

test("released bytes can be reserved again", (t) => {
  const budget = createByteBudget(10);
  budget.reserve(10);
  budget.release(3);
  t.is(budget.reserved(), 7);
  t.true(budget.reserve(3));
  t.throws(() => budget.release(11));
});
