import test from "ava";
import { applyProbe } from "./apply_probe.ts";
import type { Announcement } from "./announcement.ts";
import { applyDeparture } from "./apply_departure.ts";
import { restoreDeparture } from "./restore_departure.ts";
import { applyAnnouncement } from "./apply_announcement.ts";

const BEAT: Announcement = {
  id: "a",
  service: "s",
  slots: 8,
  leaving: false,
  coldMs: 0,
  sequence: 5,
  startedAt: 1_000,
};

const first = applyAnnouncement(null, BEAT, 0);

test("a later heartbeat counts, an earlier one doesn't", (t) => {
  t.is(
    applyAnnouncement(first, { ...BEAT, sequence: 6, slots: 9 }, 1).slots,
    9,
  );
  t.is(applyAnnouncement(first, { ...BEAT, sequence: 4, slots: 9 }, 1), first);
  t.is(applyAnnouncement(first, { ...BEAT, sequence: 5, slots: 9 }, 1), first);
});

test("a heartbeat of an earlier start changes nothing", (t) => {
  const late = { ...BEAT, id: "old", startedAt: 500, sequence: 900 };
  t.is(applyAnnouncement(first, late, 1), first);
});

test("a server reborn under its id starts its counts anew", (t) => {
  const reborn = { ...BEAT, startedAt: 2_000, sequence: 1 };
  t.is(applyAnnouncement(first, reborn, 1).startedAt, 2_000);
});

test("a leaving server doesn't come back", (t) => {
  const leaving = applyAnnouncement(first, {
    ...BEAT,
    sequence: 6,
    leaving: true,
  }, 1);
  t.true(applyAnnouncement(leaving, { ...BEAT, sequence: 7 }, 2).leaving);
});

test("a departed server's late heartbeat doesn't bring it back", (t) => {
  const gone = applyDeparture(first, { id: "a", startedAt: 1_000 }, 1)!;
  t.true(gone.leaving);
  t.is(applyAnnouncement(gone, { ...BEAT, sequence: 99 }, 1), gone);
  t.false(applyAnnouncement(gone, { ...BEAT, startedAt: 3_000 }, 1).leaving);
});

test("a departure of another server or start is ignored", (t) => {
  t.is(applyDeparture(first, { id: "b", startedAt: null }, 1), first);
  t.is(applyDeparture(first, { id: "a", startedAt: 900 }, 1), first);
});

// A restarted daemon acknowledged a departure and forgot it, since it didn't
// know its server yet; a health check then brought the server back.
test("a departure that comes before any heartbeat is forgotten", (t) => {
  for (const startedAt of [1_000, null]) {
    const gone = applyDeparture(null, { id: "a", startedAt }, 1)!;
    t.true(applyProbe(gone, { id: "a", slots: 8 }, 2).leaving);
    const told = applyAnnouncement(gone, { ...BEAT, sequence: 9 }, 3);
    t.true(told.leaving);
    t.true(applyAnnouncement(told, { ...BEAT, sequence: 10 }, 4).leaving);
    t.false(applyAnnouncement(told, { ...BEAT, startedAt: 2_000 }, 4).leaving);
  }
});

// The start of an adopted server isn't known, so its late heartbeat looked like
// that of a later start.
test("a heartbeat brings an adopted server back that has left", (t) => {
  const adopted = applyProbe(null, { id: "a", slots: 8 }, 0);
  for (const startedAt of [1_000, null]) {
    const gone = applyDeparture(adopted, { id: "a", startedAt }, 1)!;
    t.true(applyAnnouncement(gone, { ...BEAT, sequence: 9 }, 2).leaving);
  }
});

test("a departure of a later server counts before its first heartbeat", (t) => {
  const gone = applyDeparture(first, { id: "b", startedAt: 2_000 }, 1)!;
  t.is(gone.id, "b");
  t.true(
    applyAnnouncement(gone, { ...BEAT, id: "b", startedAt: 2_000 }, 2).leaving,
  );
});

test("a departure from before the start holds, also after a heartbeat", (t) => {
  const row = { id: "a", startedAt: 1_000 };
  for (const known of [null, first]) {
    const gone = restoreDeparture(known, row, 1)!;
    t.true(gone.leaving);
    t.is(applyAnnouncement(gone, { ...BEAT, sequence: 9 }, 2), gone);
    t.false(applyAnnouncement(gone, { ...BEAT, startedAt: 2_000 }, 2).leaving);
  }
  const reborn = applyAnnouncement(null, { ...BEAT, startedAt: 2_000 }, 0);
  t.is(restoreDeparture(reborn, row, 1), reborn);
});

test("a probe adopts a server only where none is known", (t) => {
  t.is(applyProbe(first, { id: "b", slots: 3 }, 0), first);
  const adopted = applyProbe(null, { id: "a", slots: 3 }, 0);
  t.is(adopted.slots, 3);
  t.is(applyAnnouncement(adopted, BEAT, 1).sequence, 5);
});
