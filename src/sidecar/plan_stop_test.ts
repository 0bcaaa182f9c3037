import test from "ava";
import fc from "fast-check";
import { planStop } from "./plan_stop.ts";

test("clients are served for at least two readiness checks", (t) => {
  t.true(planStop(0, 6_000).refuseAt > 2_000);
  t.true(planStop(0, 30_000).refuseAt < 3_000);
});

test("the steps of a stop are in order and within the grace period", (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1_000, max: 60_000 }),
      fc.integer({ min: 0, max: 1_000_000 }),
      (graceMs, startedAt) => {
        const plan = planStop(startedAt, graceMs);
        const { refuseAt, leaveLatestAt, runsEndAt, endAt } = plan;
        return startedAt < refuseAt && refuseAt <= leaveLatestAt &&
          leaveLatestAt < runsEndAt && runsEndAt < endAt &&
          endAt < startedAt + graceMs;
      },
    ),
  );
  t.pass();
});

test("requests are cut off only in the last sixth of the grace period", (t) => {
  for (const graceMs of [2_000, 3_000, 6_000, 10_000, 30_000]) {
    t.true(planStop(0, graceMs).endAt >= graceMs * 5 / 6, `${graceMs}`);
  }
});
