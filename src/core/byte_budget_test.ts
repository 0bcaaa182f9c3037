import test from "ava";
import { createByteBudget } from "./create_byte_budget.ts";

test("takes what fits and nothing else", (t) => {
  const budget = createByteBudget(10);
  t.true(budget.take(6));
  t.false(budget.take(5));
  t.is(budget.held(), 6);
  t.true(budget.take(4));
  t.is(budget.held(), budget.limit);
});

test("bytes given back can be taken again", (t) => {
  const budget = createByteBudget(10);
  budget.take(10);
  budget.release(3);
  t.is(budget.held(), 7);
  t.true(budget.take(3));
  t.throws(() => budget.release(11));
});
