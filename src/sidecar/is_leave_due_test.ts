import test from "ava";
import { isLeaveDue } from "./is_leave_due.ts";

const plan = { refuseAt: 2_000, leaveLatestAt: 4_000 };

test("a server leaves once it may, if others serve", (t) => {
  t.false(isLeaveDue(plan, 1_999, { clients: 0, othersSince: 0 }));
  t.true(isLeaveDue(plan, 2_000, { clients: 0, othersSince: 0 }));
});

test("the last server of a service stays as long as it can", (t) => {
  t.false(isLeaveDue(plan, 3_999, { clients: 0, othersSince: null }));
  t.true(isLeaveDue(plan, 4_000, { clients: 0, othersSince: null }));
});

// Daemons that hadn't found the other server yet had none for a moment.
test("a server leaves before all know the next one", (t) => {
  t.false(isLeaveDue(plan, 2_500, { clients: 0, othersSince: 2_000 }));
  t.true(isLeaveDue(plan, 2_600, { clients: 0, othersSince: 2_000 }));
});

// A server stood idle while its daemon waited for answers to its own clients.
test("a server leaves before the own clients have their answers", (t) => {
  t.false(isLeaveDue(plan, 3_000, { clients: 1, othersSince: 0 }));
  t.true(isLeaveDue(plan, 3_000, { clients: 0, othersSince: 0 }));
  t.true(isLeaveDue(plan, 4_000, { clients: 1, othersSince: 0 }));
});
