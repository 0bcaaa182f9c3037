import test from "ava";
import { settleOne } from "../../test/support/settle_one.ts";
import { ticket } from "../../test/support/ticket.ts";
import { createAdmission } from "./create_admission.ts";
import { offer } from "./offer.ts";
import { setSlots } from "./set_slots.ts";
import { tick } from "./tick.ts";
import { withdraw } from "./withdraw.ts";

/** Three requests; with one more they fill the queue of a single slot. */
function threeTickets() {
  return [7, 8, 9].map((priority) => ticket({ priority }));
}

test("full queue evicts a lower class for a critical request", (t) => {
  const admission = createAdmission(1);
  offer(admission, ticket(), 0);
  const low = ticket({ priority: 5 });
  for (const each of [low, ...threeTickets()]) offer(admission, each, 0);
  t.is(offer(admission, ticket({ priority: 300 }), 0).kind, "queued");
  const { start, drop } = settleOne(admission, 0);
  t.deepEqual(drop, [low]);
  t.is(start[0]?.priority, 300);
});

test("request that cannot start before its deadline is rejected", (t) => {
  const admission = createAdmission(1);
  offer(admission, ticket(), 0);
  settleOne(admission, 0);
  offer(admission, ticket(), 0);
  offer(admission, ticket({ priority: 9 }), 0);
  const late = offer(admission, ticket({ deadlineAt: 15 }), 0);
  t.deepEqual(late, { kind: "rejected", reason: "deadline" });
  const first = offer(admission, ticket({ priority: 10, deadlineAt: 15 }), 0);
  t.is(first.kind, "queued");
});

test("expired request does not occupy a slot", (t) => {
  const admission = createAdmission(1);
  offer(admission, ticket(), 0);
  const expired = ticket({ deadlineAt: 5 });
  offer(admission, expired, 0);
  t.deepEqual(settleOne(admission, 5), { start: [], drop: [expired] });
  t.is(admission.inFlight, 0);
});

test("withdrawn request is neither started nor dropped later", (t) => {
  const admission = createAdmission(1);
  offer(admission, ticket(), 0);
  const evicted = ticket();
  const queued = ticket({ priority: 200 });
  for (const each of [evicted, ...threeTickets(), queued]) {
    offer(admission, each, 0);
  }
  t.true(withdraw(admission, evicted.id));
  t.true(withdraw(admission, queued.id));
  t.false(withdraw(admission, queued.id));
  const { start, drop } = settleOne(admission, 0);
  t.deepEqual([start[0]?.priority, drop], [9, []]);
});

test("limit follows a changed number of slots", (t) => {
  const admission = createAdmission(10);
  for (let index = 0; index < 12; index++) offer(admission, ticket(), 0);
  setSlots(admission, 4);
  t.is(admission.limit, 4);
  t.is(settleOne(admission, 0).start.length, 0);
  setSlots(admission, 20);
  t.is(tick(admission, 50).start.length, 2);
});
