import test from "ava";
import { isLeaveDue } from "./is_leave_due.ts";

const plan = { leaveAt: 2_000, leaveLatestAt: 4_000 };

test("a server leaves once it may, if others serve", (t) => {
  t.false(isLeaveDue(plan, 1_999, true));
  t.true(isLeaveDue(plan, 2_000, true));
});

test("the last server of a service stays as long as it can", (t) => {
  t.false(isLeaveDue(plan, 3_999, false));
  t.true(isLeaveDue(plan, 4_000, false));
});
