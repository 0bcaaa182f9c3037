import test from "ava";
import { adopt } from "./adopt.ts";
import type { Announcement } from "./announcement.ts";
import { depart } from "./depart.ts";
import { recall } from "./recall.ts";
import { register } from "./register.ts";

const BEAT: Announcement = {
  id: "a",
  service: "s",
  slots: 8,
  leaving: false,
  coldMs: 0,
  sequence: 5,
  startedAt: 1_000,
};

const first = register(null, BEAT, 0);

test("a later heartbeat counts, an earlier one doesn't", (t) => {
  t.is(register(first, { ...BEAT, sequence: 6, slots: 9 }, 1).slots, 9);
  t.is(register(first, { ...BEAT, sequence: 4, slots: 9 }, 1), first);
  t.is(register(first, { ...BEAT, sequence: 5, slots: 9 }, 1), first);
});

test("a heartbeat of an earlier start changes nothing", (t) => {
  const late = { ...BEAT, id: "old", startedAt: 500, sequence: 900 };
  t.is(register(first, late, 1), first);
});

test("a server reborn under its id starts its counts anew", (t) => {
  const reborn = { ...BEAT, startedAt: 2_000, sequence: 1 };
  t.is(register(first, reborn, 1).startedAt, 2_000);
});

test("a leaving server doesn't come back", (t) => {
  const leaving = register(first, { ...BEAT, sequence: 6, leaving: true }, 1);
  t.true(register(leaving, { ...BEAT, sequence: 7 }, 2).leaving);
});

test("a departed server's late heartbeat doesn't bring it back", (t) => {
  const gone = depart(first, { id: "a", startedAt: 1_000 })!;
  t.true(gone.leaving);
  t.is(register(gone, { ...BEAT, sequence: 99 }, 1), gone);
  t.false(register(gone, { ...BEAT, startedAt: 3_000 }, 1).leaving);
});

test("a departure of another server or start is ignored", (t) => {
  t.is(depart(first, { id: "b", startedAt: null }), first);
  t.is(depart(first, { id: "a", startedAt: 900 }), first);
});

test("a departure from before the start holds, also after a heartbeat", (t) => {
  const row = { id: "a", startedAt: 1_000 };
  for (const known of [null, first]) {
    const gone = recall(known, row, 1)!;
    t.true(gone.leaving);
    t.is(register(gone, { ...BEAT, sequence: 9 }, 2), gone);
    t.false(register(gone, { ...BEAT, startedAt: 2_000 }, 2).leaving);
  }
  const reborn = register(null, { ...BEAT, startedAt: 2_000 }, 0);
  t.is(recall(reborn, row, 1), reborn);
});

test("a probe adopts a server only where none is known", (t) => {
  t.is(adopt(first, { id: "b", slots: 3 }, 0), first);
  const adopted = adopt(null, { id: "a", slots: 3 }, 0);
  t.is(adopted.slots, 3);
  t.is(register(adopted, BEAT, 1).sequence, 5);
});
