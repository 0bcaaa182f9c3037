import test from "ava";
import fc from "fast-check";
import { canonicalJson } from "../core/canonical_json.ts";
import type { Random } from "../core/random.ts";
import { seededRandom } from "../core/seeded_random.ts";
import { raiseVerdict } from "./raise_verdict.ts";
import { answerExchange } from "./answer_exchange.ts";
import { candidates } from "./candidates.ts";
import { choosePartner } from "./choose_partner.ts";
import { createDirectory } from "./create_directory.ts";
import { markGone } from "./mark_gone.ts";
import type { Directory } from "./directory.ts";
import { ExchangeRequest } from "./exchange_request.ts";
import { ExchangeResponse } from "./exchange_response.ts";
import { continueExchange } from "./continue_exchange.ts";
import { isLive } from "./is_live.ts";
import { merge } from "./merge.ts";
import { queueUpdate } from "./queue_update.ts";
import { ownMember } from "./own_member.ts";
import { startExchange } from "./start_exchange.ts";
import { writeOwnEntry } from "./write_own_entry.ts";

const RULES = { sequence: 0, digest: "" };
const DATA_CENTRES = ["suva", "nadi", "lautoka"];
const DAEMON_COUNT = 9;
/**
 * More than 9·log2(`DAEMON_COUNT`). In nearly all runs, the directories are
 * equal after far fewer rounds.
 */
const ROUNDS = 30;

type Link = (from: Directory, to: Directory) => boolean;
const connected: Link = () => true;

/**
 * Runs one exchange and returns the number of its requests that were sent.
 * `link` decides for each message whether it arrives.
 */
function exchange(one: Directory, two: Directory, link: Link, now: number) {
  const partner = two.identity.address;
  let request: ExchangeRequest | null = startExchange(one, {
    rules: RULES,
    partner,
  });
  let requests = 0;
  while (request !== null && link(one, two)) {
    requests++;
    const receivedRequest = ExchangeRequest.parse(
      JSON.parse(JSON.stringify(request)),
    );
    const answer = answerExchange(two, receivedRequest, { rules: RULES }, now);
    if (!link(two, one)) return requests;
    const response = ExchangeResponse.parse(JSON.parse(JSON.stringify(answer)));
    request = continueExchange(one, { request, response }, now);
  }
  return requests;
}

function round(all: Directory[], link: Link, random: Random, now: number) {
  for (const one of all) {
    const address = choosePartner(one, random, now);
    const two = all.find(({ identity }) => identity.address === address);
    if (two !== undefined) exchange(one, two, link, now);
  }
}

function createDirectories(): Directory[] {
  const all = Array.from(
    { length: DAEMON_COUNT },
    (_, index) =>
      createDirectory({
        address: `10.0.0.${index}:1`,
        dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
        instance: `i${index}`,
      }, 0),
  );
  const entries = all.map((one) => ownMember(one).entry);
  for (const one of all) {
    merge(one, entries, 0);
    one.updates.clear();
  }
  return all;
}

/** Writes a new version at its owner. */
function writeNewVersion(directory: Directory, now: number) {
  const { incarnation, sequence } = ownMember(directory).entry;
  writeOwnEntry(directory, { incarnation, sequence: sequence + 1 }, now);
}

function live(directory: Directory) {
  return [...directory.members.values()].filter(isLive)
    .map(({ entry }) => canonicalJson(entry)).sort();
}

test("exchange of equal directories takes one request", (t) => {
  const [one, two] = createDirectories();
  t.is(exchange(one!, two!, connected, 1), 1);
});

test("digests repair any lost messages within bounded rounds", (t) => {
  const input = fc.record({
    seed: fc.integer(),
    lossEnd: fc.nat(8),
    changes: fc.array(fc.nat(DAEMON_COUNT - 1), { maxLength: 6 }),
    departed: fc.array(fc.nat(DAEMON_COUNT - 1), { maxLength: 3 }),
  });
  fc.assert(
    fc.property(input, ({ seed, lossEnd, changes, departed }) => {
      const random = seededRandom(seed);
      const all = createDirectories();
      for (const index of changes) writeNewVersion(all[index]!, 1);
      for (const index of departed) markGone(all[index]!, 1);
      const link = () => random() < 0.5;
      for (let now = 1; now <= lossEnd; now++) round(all, link, random, now);
      // Without queued updates, only the digests can repair.
      for (const one of all) one.updates.clear();
      for (let now = 10; now < 10 + ROUNDS; now++) {
        round(all, connected, random, now);
      }
      for (const one of all) t.deepEqual(live(one), live(all[0]!));
      const gone = new Set(departed);
      t.is(live(all[0]!).length, DAEMON_COUNT - gone.size);
    }),
    { numRuns: 50, seed: 1 },
  );
});

test("partition and rejoin neither lose changes nor resurrect members", (t) => {
  const input = fc.record({
    seed: fc.integer(),
    changes: fc.array(fc.nat(DAEMON_COUNT - 1), { maxLength: 6 }),
    departed: fc.array(fc.nat(DAEMON_COUNT - 1), { maxLength: 3 }),
    failed: fc.array(
      fc.tuple(fc.nat(DAEMON_COUNT - 1), fc.nat(DAEMON_COUNT - 1)),
    ),
  });
  fc.assert(
    fc.property(input, ({ seed, changes, departed, failed }) => {
      const random = seededRandom(seed);
      const all = createDirectories();
      const split: Link = (from, to) =>
        (from.identity.dataCentre === "suva") ===
          (to.identity.dataCentre === "suva");
      for (const index of changes) writeNewVersion(all[index]!, 1);
      for (const index of departed) markGone(all[index]!, 1);
      for (const [by, index] of failed) {
        const { address } = all[index]!.identity;
        raiseVerdict(all[by]!, { address, verdict: 2 }, 1);
      }
      for (let now = 1; now <= 20; now++) round(all, split, random, now);
      for (let now = 21; now <= 20 + ROUNDS; now++) {
        round(all, connected, random, now);
      }
      const present = all.filter(({ phase }) => phase === "present");
      const expected = present
        .map((one) => canonicalJson(ownMember(one).entry)).sort();
      for (const one of all) t.deepEqual(live(one), expected);
    }),
    { numRuns: 50, seed: 2 },
  );
});

test("member that is alive refutes a wrong verdict", (t) => {
  const cases = [1, 2].flatMap((verdict) =>
    [true, false].map((accuserInitiates) => ({
      verdict: verdict as 1 | 2,
      accuserInitiates,
    }))
  );
  for (const { verdict, accuserInitiates } of cases) {
    const [one, two, three] = createDirectories() as [
      Directory,
      Directory,
      Directory,
    ];
    const { address } = two.identity;
    const before = ownMember(two).entry;
    raiseVerdict(one, { address, verdict }, 1);
    t.deepEqual(one.members.get(address)!.entry, before);
    one.updates.clear();
    if (accuserInitiates) exchange(one, two, connected, 2);
    else exchange(two, one, connected, 2);
    t.true(ownMember(two).entry.sequence > before.sequence);
    exchange(two, three, connected, 3);
    exchange(three, one, connected, 4);
    t.is(one.members.get(address)!.verdict, 0);
    t.deepEqual(one.members.get(address)!.entry, ownMember(two).entry);
  }
});

test("update is sent a bounded number of times", (t) => {
  const [one, two] = createDirectories() as [Directory, Directory];
  const { address } = one.identity;
  let sends = 0;
  queueUpdate(one, address);
  for (let now = 1; now < 50; now++) {
    const request = startExchange(one, { rules: RULES, partner: "none" });
    sends += request.reports.length;
  }
  t.is(sends, Math.ceil(Math.log2(DAEMON_COUNT + 1)));
  t.deepEqual(two.updates.size, 0);
});

test("new daemon learns many entries without spreading them as updates", (t) => {
  const one = createDirectories()[0]!;
  const entries = Array.from({ length: 3_000 }, (_, index) => ({
    ...ownMember(one).entry,
    address: `10.1.${index >> 8}.${index & 255}:1`,
    server: { service: "bookings", slots: 30, warmupMs: 0 },
  }));
  merge(one, entries, 1);
  one.updates.clear();
  const joining = createDirectory(
    { address: "10.9.0.1:1", dataCentre: "suva", instance: "new" },
    2,
  );
  let now = 2;
  while (joining.digest !== one.digest && now < 20) {
    exchange(joining, one, connected, ++now);
  }
  t.is(candidates(joining, "bookings").length, 3_000);
  t.true(joining.updates.size <= 1);
});
