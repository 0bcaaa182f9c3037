import test from "ava";
import { isLeaveDue } from "./is_leave_due.ts";

const plan = { refuseAt: 2_000, leaveLatestAt: 4_000 };

test("a server leaves once clients are refused, if others serve", (t) => {
  t.false(isLeaveDue(plan, 1_999, { clients: 0, othersAvailableSince: 0 }));
  t.true(isLeaveDue(plan, 2_000, { clients: 0, othersAvailableSince: 0 }));
});

test("the last server of a service stays until the latest time", (t) => {
  t.false(isLeaveDue(plan, 3_999, { clients: 0, othersAvailableSince: null }));
  t.true(isLeaveDue(plan, 4_000, { clients: 0, othersAvailableSince: null }));
});

// Daemons that had not yet discovered the other server were briefly left
// without any server of the service.
test("a server stays until all daemons have discovered another one", (t) => {
  t.false(isLeaveDue(plan, 2_500, { clients: 0, othersAvailableSince: 2_000 }));
  t.true(isLeaveDue(plan, 2_600, { clients: 0, othersAvailableSince: 2_000 }));
});

// A server that left earlier was idle while its daemon still waited for the
// responses to its own clients.
test("a server stays until the own clients have their responses", (t) => {
  t.false(isLeaveDue(plan, 3_000, { clients: 1, othersAvailableSince: 0 }));
  t.true(isLeaveDue(plan, 3_000, { clients: 0, othersAvailableSince: 0 }));
  t.true(isLeaveDue(plan, 4_000, { clients: 1, othersAvailableSince: 0 }));
});
