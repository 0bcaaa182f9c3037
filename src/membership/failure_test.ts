import test from "ava";
import { seededRandom } from "../core/seeded_random.ts";
import { raiseVerdict } from "./raise_verdict.ts";
import { candidates } from "./candidates.ts";
import { chooseHelpers } from "./choose_helpers.ts";
import { choosePartner } from "./choose_partner.ts";
import { createDirectory } from "./create_directory.ts";
import { evaluateProbe } from "./evaluate_probe.ts";
import { merge } from "./merge.ts";
import { recordContact } from "./record_contact.ts";
import { tick } from "./tick.ts";

function populated() {
  const directory = createDirectory(
    { address: "self:1", dataCentre: "suva", instance: "i" },
    0,
  );
  const entries = ["suva", "nadi"].flatMap((dataCentre) =>
    [1, 2, 3, 4].map((index) => ({
      address: `${dataCentre}:${index}`,
      dataCentre,
      incarnation: 1,
      sequence: 0,
      state: "up" as const,
      instance: "x",
      server: { service: "bookings", slots: 30, warmupMs: 0 },
    }))
  );
  merge(directory, entries, 0);
  return directory;
}

function runTicks(
  directory: ReturnType<typeof populated>,
  from: number,
  to: number,
) {
  for (let now = from; now <= to; now += 1_000) tick(directory, now);
}

test("suspected member fails after the timeout, not before", (t) => {
  const directory = populated();
  raiseVerdict(directory, { address: "suva:1", verdict: 1 }, 0);
  runTicks(directory, 0, 3_000);
  t.is(directory.members.get("suva:1")!.verdict, 1);
  t.is(candidates(directory, "bookings").length, 8);
  runTicks(directory, 4_000, 8_000);
  t.is(directory.members.get("suva:1")!.verdict, 2);
  t.is(candidates(directory, "bookings").length, 7);
});

test("refuted suspicion is not timed out", (t) => {
  const directory = populated();
  const { entry } = directory.members.get("suva:1")!;
  raiseVerdict(directory, { address: "suva:1", verdict: 1 }, 0);
  merge(directory, [{ ...entry, sequence: 1 }], 1);
  runTicks(directory, 0, 60_000);
  t.is(directory.members.get("suva:1")!.verdict, 0);
});

test("suspicion in another data centre is not timed out here", (t) => {
  const directory = populated();
  raiseVerdict(directory, { address: "nadi:1", verdict: 1 }, 0);
  runTicks(directory, 0, 60_000);
  t.is(directory.members.get("nadi:1")!.verdict, 1);
});

test("pause of the observer does not expire suspicions", (t) => {
  const directory = populated();
  raiseVerdict(directory, { address: "suva:1", verdict: 1 }, 0);
  tick(directory, 60_000);
  t.is(directory.members.get("suva:1")!.verdict, 1);
});

test("daemon that is cut off suspects nobody", (t) => {
  const directory = populated();
  const target = "suva:1";
  const evaluate = (findings: ("reached" | "unreached" | "silent")[]) =>
    evaluateProbe(directory, { target, findings }, 0);
  t.is(evaluate(["silent", "silent"]), "undecided");
  t.is(evaluate(["unreached", "reached"]), "alive");
  t.is(directory.members.get(target)!.verdict, 0);
  t.is(evaluate(["silent", "unreached"]), "suspect");
  t.is(directory.members.get(target)!.verdict, 1);
});

test("helpers exclude the target and span data centres", (t) => {
  const directory = populated();
  for (let seed = 0; seed < 20; seed++) {
    const helpers = chooseHelpers(directory, "suva:1", seededRandom(seed));
    t.is(new Set(helpers).size, 3);
    t.false(helpers.includes("suva:1"));
    t.true(helpers.some((helper) => helper.startsWith("nadi")));
  }
});

test("two failed daemons do not make a data centre unreachable", (t) => {
  const directory = populated();
  const recordFailure = (address: string) =>
    recordContact(
      directory,
      { address, dataCentre: "nadi", reached: false },
      9,
    );
  for (let attempt = 0; attempt < 5; attempt++) recordFailure("nadi:1");
  recordFailure("nadi:2");
  t.is(candidates(directory, "bookings").length, 8);
});

test("unreachable data centre returns with all candidates and no new warm-up", (t) => {
  const directory = populated();
  const record = (address: string, reached: boolean) =>
    recordContact(directory, { address, dataCentre: "nadi", reached }, 9);
  for (const index of [1, 2, 3]) record(`nadi:${index}`, false);
  t.is(candidates(directory, "bookings").length, 4);
  t.is(directory.members.size, 9);
  record("nadi:4", true);
  t.is(candidates(directory, "bookings").length, 8);
  t.true(candidates(directory, "bookings").every(({ since }) => since === 0));
});

test("unreachable and failed members are still tried", (t) => {
  const directory = populated();
  raiseVerdict(directory, { address: "suva:1", verdict: 2 }, 0);
  for (const index of [1, 2, 3]) {
    const address = `nadi:${index}`;
    recordContact(
      directory,
      { address, dataCentre: "nadi", reached: false },
      9,
    );
  }
  const random = seededRandom(1);
  const partners = new Set<string | null>();
  for (let attempt = 0; attempt < 500; attempt++) {
    partners.add(choosePartner(directory, random, 9));
  }
  t.is(partners.size, 8);
});

/**
 * Maximum time between idle gossip rounds, including jitter, see
 * `start_timers.ts`.
 */
const MAX_ROUND_INTERVAL_MS = 2_200;
/** Operators are told to watch for a minute, see `docs/operators.md`. */
const MAX_DETECTION_MS = 60_000;

/**
 * Returns the time from the loss of the data centres until all of them count as
 * unreachable, in ms.
 */
function detectionMs(seed: number, lost: string[]): number {
  const directory = createDirectory(
    { address: "self:1", dataCentre: "suva", instance: "i" },
    0,
  );
  const entries = ["suva", "nadi", "lautoka"].flatMap((dataCentre) =>
    [1, 2, 3].map((index) => ({
      address: `${dataCentre}:${index}`,
      dataCentre,
      incarnation: 1,
      sequence: 0,
      state: "up" as const,
      instance: "x",
      server: null,
    }))
  );
  merge(directory, entries, 0);
  const random = seededRandom(seed);
  const lostAt = 1_000_000;
  let now = lostAt - 200_000;
  while (directory.unreachable.size < lost.length) {
    const address = choosePartner(directory, random, now)!;
    const { dataCentre } = directory.members.get(address)!.entry;
    const reached = now < lostAt || !lost.includes(dataCentre);
    recordContact(directory, { address, dataCentre, reached }, now);
    now += MAX_ROUND_INTERVAL_MS;
  }
  return now - lostAt;
}

// Guards against a lost data centre that exchanges try too rarely: without
// `SILENCE_MS`, its loss could go unnoticed for 31 s or even 60 s.
test("loss of a data centre is detected within a minute", (t) => {
  for (const lost of [["nadi"], ["nadi", "lautoka"]]) {
    for (let seed = 0; seed < 500; seed++) {
      t.true(detectionMs(seed, lost) <= MAX_DETECTION_MS, `${lost} ${seed}`);
    }
  }
});

test("contact with other data centres leaves most rounds to the own one", (t) => {
  const directory = populated();
  const random = seededRandom(1);
  let others = 0;
  for (let round = 0; round < 10_000; round++) {
    const now = 100_000 + round * MAX_ROUND_INTERVAL_MS;
    const address = choosePartner(directory, random, now)!;
    const { dataCentre } = directory.members.get(address)!.entry;
    recordContact(directory, { address, dataCentre, reached: true }, now);
    if (dataCentre !== "suva") others++;
  }
  // `OWN_SHARE` leaves a fifth of the rounds to the other data centres, and
  // `SILENCE_MS` adds at most another fifth.
  t.true(others < 4_000, `${others}`);
});
