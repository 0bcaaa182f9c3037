import test from "ava";
import fc from "fast-check";
import { raiseVerdict } from "./raise_verdict.ts";
import { setAnnouncement } from "./set_announcement.ts";
import { candidates } from "./candidates.ts";
import { createDirectory } from "./create_directory.ts";
import { markGone } from "./mark_gone.ts";
import type { Directory } from "./directory.ts";
import type { Entry } from "./entry.ts";
import { markLeaving } from "./mark_leaving.ts";
import { merge } from "./merge.ts";
import { mergeReports } from "./merge_reports.ts";
import { recordContact } from "./record_contact.ts";
import { ownMember } from "./own_member.ts";
import type { Report } from "./report.ts";
import { tick } from "./tick.ts";
import { TOMBSTONE_MS } from "./tombstone_ms.ts";

const SERVER = { service: "bookings", slots: 30, warmupMs: 0 };
const ANNOUNCED = {
  ...SERVER,
  address: "127.0.0.1:8000",
  connections: 10,
  state: "up" as const,
  sheds: false,
  echoes: false,
};

const create = (address = "self:1") =>
  createDirectory({ address, dataCentre: "suva", instance: "i" }, 0);

const entryOf = (changes: Partial<Entry> = {}): Entry => ({
  address: "a:1",
  dataCentre: "suva",
  incarnation: 1,
  sequence: 0,
  state: "up",
  instance: "x",
  server: SERVER,
  ...changes,
});

const report: fc.Arbitrary<Report> = fc.record({
  entry: fc.record({
    address: fc.constantFrom("a:1", "b:1", "c:1"),
    dataCentre: fc.constantFrom("suva", "nadi"),
    incarnation: fc.nat(2),
    sequence: fc.nat(2),
    state: fc.constantFrom("up", "leaving", "gone"),
    instance: fc.constantFrom("x", "y"),
    server: fc.constantFrom(SERVER, { ...SERVER, service: "inventory" }, null),
  }),
  verdict: fc.constantFrom(0, 1, 2),
});

const contents = (directory: Directory) =>
  [...directory.members.values()]
    .map(({ entry, verdict }) => JSON.stringify({ entry, verdict })).sort();

const addresses = (directory: Directory, service: string) =>
  candidates(directory, service).map(({ address }) => address).sort();

test("reports in any order, also repeated, give the same directory", (t) => {
  const orders = fc.array(report, { maxLength: 20 }).chain((reports) =>
    fc.tuple(
      fc.constant(reports),
      fc.shuffledSubarray([...reports, ...reports], {
        minLength: 2 * reports.length,
      }),
    )
  );
  fc.assert(fc.property(orders, ([reports, shuffled]) => {
    const [one, two] = [create(), create()];
    candidates(two, "bookings");
    mergeReports(one, reports, 1);
    for (const each of shuffled) mergeReports(two, [each], 1);
    t.deepEqual(mergeReports(one, shuffled, 1).applied, []);
    t.deepEqual(contents(one), contents(two));
    t.is(one.digest, two.digest);
    t.is(one.liveCount, two.liveCount);
    for (const service of ["bookings", "inventory"]) {
      t.deepEqual(addresses(one, service), addresses(two, service));
    }
  }));
});

test("candidate list is rebuilt only when its service changes", (t) => {
  const directory = create();
  merge(directory, [entryOf()], 5);
  const before = candidates(directory, "bookings");
  t.like(before, [{ address: "a:1", slots: 30, since: 5 }]);
  const other = { ...SERVER, service: "inventory" };
  merge(directory, [entryOf({ address: "b:1", server: other })], 6);
  t.is(candidates(directory, "bookings"), before);
  const slower = { ...SERVER, slots: 10 };
  merge(directory, [entryOf({ sequence: 1, server: slower })], 7);
  t.like(candidates(directory, "bookings"), [{ slots: 10, since: 5 }]);
  merge(directory, [entryOf({ incarnation: 2 })], 8);
  t.like(candidates(directory, "bookings"), [{ since: 8 }]);
  const next = { incarnation: 2, sequence: 1 };
  merge(directory, [entryOf({ ...next, state: "leaving" })], 9);
  merge(directory, [entryOf({ ...next, sequence: 2 })], 10);
  t.like(candidates(directory, "bookings"), [{ since: 10 }]);
});

test("member that leaves, fails or has no server is no candidate", (t) => {
  const changes: Partial<Entry>[] = [
    { state: "leaving" },
    { state: "gone" },
    { server: null },
  ];
  for (const change of changes) {
    const directory = create();
    merge(directory, [entryOf()], 0);
    t.is(candidates(directory, "bookings").length, 1);
    merge(directory, [entryOf({ sequence: 1, ...change })], 0);
    t.deepEqual(candidates(directory, "bookings"), []);
  }
  const directory = create();
  merge(directory, [entryOf()], 0);
  raiseVerdict(directory, { address: "a:1", verdict: 2 }, 0);
  t.deepEqual(candidates(directory, "bookings"), []);
  merge(directory, [entryOf({ sequence: 1 })], 9);
  t.like(candidates(directory, "bookings"), [{ address: "a:1", since: 0 }]);
});

test("server without heartbeats is withdrawn", (t) => {
  const directory = create();
  setAnnouncement(directory, ANNOUNCED, 0);
  for (let now = 0; now <= 3_000; now += 1_000) tick(directory, now);
  t.is(candidates(directory, "bookings").length, 1);
  tick(directory, 4_000);
  t.is(candidates(directory, "bookings").length, 0);
  t.is(ownMember(directory).entry.server, null);
});

test("pause of the daemon does not withdraw its server", (t) => {
  const directory = create();
  setAnnouncement(directory, ANNOUNCED, 0);
  tick(directory, 60_000);
  t.is(candidates(directory, "bookings").length, 1);
});

test("heartbeat of the server does not undo a planned shutdown", (t) => {
  const directory = create();
  setAnnouncement(directory, ANNOUNCED, 0);
  markLeaving(directory, 1);
  setAnnouncement(directory, ANNOUNCED, 2);
  t.is(ownMember(directory).entry.state, "leaving");
  markGone(directory, 3);
  setAnnouncement(directory, ANNOUNCED, 4);
  t.is(ownMember(directory).entry.state, "gone");
});

test("unchanged heartbeat writes no new version", (t) => {
  const directory = create();
  setAnnouncement(directory, ANNOUNCED, 0);
  const { sequence } = ownMember(directory).entry;
  setAnnouncement(directory, ANNOUNCED, 1_000);
  t.is(ownMember(directory).entry.sequence, sequence);
});

test("own entry of a later version is superseded by the running process", (t) => {
  const foreign = fc.record({
    incarnation: fc.nat(50),
    sequence: fc.nat(3),
    state: fc.constantFrom("up" as const, "gone" as const),
  });
  fc.assert(fc.property(fc.array(foreign), (versions) => {
    const directory = createDirectory(
      { address: "a:1", dataCentre: "suva", instance: "new" },
      20,
    );
    for (const version of versions) {
      merge(directory, [entryOf({ ...version, instance: "old" })], 21);
      const { entry } = ownMember(directory);
      t.is(entry.instance, "new");
      t.is(entry.state, "up");
      t.true(
        entry.incarnation > version.incarnation ||
          entry.incarnation === version.incarnation &&
            entry.sequence > version.sequence,
      );
    }
  }));
});

test("own entry that comes back unchanged is ignored", (t) => {
  const directory = create();
  const { entry } = ownMember(directory);
  t.deepEqual(merge(directory, [{ ...entry }], 1), []);
  t.is(ownMember(directory).entry.sequence, entry.sequence);
});

test("old copy does not resurrect a departed member; tombstones expire", (t) => {
  const directory = create();
  merge(directory, [entryOf({ sequence: 1, state: "gone" })], 0);
  directory.contactAt = TOMBSTONE_MS;
  tick(directory, TOMBSTONE_MS - 1);
  t.deepEqual(merge(directory, [entryOf()], TOMBSTONE_MS - 1), []);
  t.is(candidates(directory, "bookings").length, 0);
  tick(directory, TOMBSTONE_MS);
  t.false(directory.members.has("a:1"));
  t.is(directory.tombstones.size, 0);
});

test("daemon that was cut off for long discards its old entries", (t) => {
  const directory = create();
  merge(directory, [entryOf()], 0);
  const contact = { address: "a:1", dataCentre: "suva", reached: true };
  recordContact(directory, contact, 1_000);
  tick(directory, TOMBSTONE_MS / 2);
  t.true(directory.members.has("a:1"));
  tick(directory, TOMBSTONE_MS / 2 + 1_000);
  t.deepEqual([...directory.members.keys()], ["self:1"]);
  t.is(directory.digest, create().digest);
});

test("number of members is limited", (t) => {
  const directory = create();
  const entries = Array.from(
    { length: 70_000 },
    (_, index) => entryOf({ address: `a:${index}` }),
  );
  merge(directory, entries, 0);
  t.is(directory.members.size, 65_536);
});
