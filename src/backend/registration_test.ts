import test from "ava";
import type { Announcement } from "./announcement.ts";
import { applyAnnouncement } from "./apply_announcement.ts";
import { applyDeparture } from "./apply_departure.ts";
import { applyProbe } from "./apply_probe.ts";
import { restoreDeparture } from "./restore_departure.ts";

const HEARTBEAT: Announcement = {
  id: "a",
  service: "s",
  slots: 8,
  leaving: false,
  coldMs: 0,
  sequence: 5,
  startedAt: 1_000,
};

const first = applyAnnouncement(null, HEARTBEAT, 0);

test("a later heartbeat is applied, an earlier one is ignored", (t) => {
  t.is(
    applyAnnouncement(first, { ...HEARTBEAT, sequence: 6, slots: 9 }, 1).slots,
    9,
  );
  t.is(
    applyAnnouncement(first, { ...HEARTBEAT, sequence: 4, slots: 9 }, 1),
    first,
  );
  t.is(
    applyAnnouncement(first, { ...HEARTBEAT, sequence: 5, slots: 9 }, 1),
    first,
  );
});

test("a heartbeat of an earlier start changes nothing", (t) => {
  const late = { ...HEARTBEAT, id: "old", startedAt: 500, sequence: 900 };
  t.is(applyAnnouncement(first, late, 1), first);
});

test("a server that restarted under its id starts a new sequence", (t) => {
  const restarted = { ...HEARTBEAT, startedAt: 2_000, sequence: 1 };
  t.is(applyAnnouncement(first, restarted, 1).startedAt, 2_000);
});

test("a leaving server stays so after a later heartbeat", (t) => {
  const leaving = applyAnnouncement(first, {
    ...HEARTBEAT,
    sequence: 6,
    leaving: true,
  }, 1);
  t.true(applyAnnouncement(leaving, { ...HEARTBEAT, sequence: 7 }, 2).leaving);
});

test("a late heartbeat of a departed server is ignored", (t) => {
  const departed = applyDeparture(first, { id: "a", startedAt: 1_000 }, 1)!;
  t.true(departed.leaving);
  t.is(
    applyAnnouncement(departed, { ...HEARTBEAT, sequence: 99 }, 1),
    departed,
  );
  t.false(
    applyAnnouncement(departed, { ...HEARTBEAT, startedAt: 3_000 }, 1).leaving,
  );
});

test("a departure of another server or start is ignored", (t) => {
  t.is(applyDeparture(first, { id: "b", startedAt: null }, 1), first);
  t.is(applyDeparture(first, { id: "a", startedAt: 900 }, 1), first);
});

// Guards against a restarted daemon that did not know its server yet and
// acknowledged a departure without recording it; a health check then put the
// server back into use.
test("a departure that precedes any heartbeat is recorded", (t) => {
  for (const startedAt of [1_000, null]) {
    const departed = applyDeparture(null, { id: "a", startedAt }, 1)!;
    t.true(applyProbe(departed, { id: "a", slots: 8 }, 2).leaving);
    const reported = applyAnnouncement(
      departed,
      { ...HEARTBEAT, sequence: 9 },
      3,
    );
    t.true(reported.leaving);
    t.true(
      applyAnnouncement(reported, { ...HEARTBEAT, sequence: 10 }, 4).leaving,
    );
    t.false(
      applyAnnouncement(reported, { ...HEARTBEAT, startedAt: 2_000 }, 4)
        .leaving,
    );
  }
});

// Guards against the return of a departed server that was registered by a
// health check: its start time is unknown, so a late heartbeat looked like one
// of a later start.
test("a late heartbeat doesn't bring back a server found by a probe", (t) => {
  const probed = applyProbe(null, { id: "a", slots: 8 }, 0);
  for (const startedAt of [1_000, null]) {
    const departed = applyDeparture(probed, { id: "a", startedAt }, 1)!;
    t.true(
      applyAnnouncement(departed, { ...HEARTBEAT, sequence: 9 }, 2).leaving,
    );
  }
});

test("a departure of a later server applies before its first heartbeat", (t) => {
  const departed = applyDeparture(first, { id: "b", startedAt: 2_000 }, 1)!;
  t.is(departed.id, "b");
  t.true(
    applyAnnouncement(departed, { ...HEARTBEAT, id: "b", startedAt: 2_000 }, 2)
      .leaving,
  );
});

test("a restored departure prevails over heartbeats until a restart", (t) => {
  const row = { id: "a", startedAt: 1_000 };
  for (const known of [null, first]) {
    const departed = restoreDeparture(known, row, 1)!;
    t.true(departed.leaving);
    t.is(
      applyAnnouncement(departed, { ...HEARTBEAT, sequence: 9 }, 2),
      departed,
    );
    t.false(
      applyAnnouncement(departed, { ...HEARTBEAT, startedAt: 2_000 }, 2)
        .leaving,
    );
  }
  const restarted = applyAnnouncement(
    null,
    { ...HEARTBEAT, startedAt: 2_000 },
    0,
  );
  t.is(restoreDeparture(restarted, row, 1), restarted);
});

test("a probe registers a server only if none is registered", (t) => {
  t.is(applyProbe(first, { id: "b", slots: 3 }, 0), first);
  const probed = applyProbe(null, { id: "a", slots: 3 }, 0);
  t.is(probed.slots, 3);
  t.is(applyAnnouncement(probed, HEARTBEAT, 1).sequence, 5);
});
