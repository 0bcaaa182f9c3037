import test from "ava";
import fc from "fast-check";
import { seededRandom } from "../core/seeded_random.ts";
import type { Outcome } from "../outcomes/outcome.ts";
import { begin } from "./begin.ts";
import type { Candidate } from "./candidate.ts";
import { choose } from "./choose.ts";
import { createRouting } from "./create_routing.ts";
import { end } from "./end.ts";
import type { Routing } from "./routing.ts";
import { subset } from "./subset.ts";
import { sweepObservations } from "./sweep_observations.ts";

// A fixed seed makes CI runs reproducible.
fc.configureGlobal({ seed: 1, numRuns: 200 });

const LOST: Outcome = { kind: "unknown", reason: "connection-lost" };
const ANSWERED: Outcome = { kind: "answered", status: 200 };
const OVERLOAD: Outcome = { kind: "not-run", reason: "overload" };
const LEAVING: Outcome = { kind: "not-run", reason: "leaving" };
const START = 1_000_000;

function candidate(
  name: string,
  overrides: Partial<Candidate> = {},
): Candidate {
  return {
    address: name,
    dataCentre: "suva",
    slots: 10,
    since: 0,
    warmupMs: 0,
    ...overrides,
  };
}

function pickAt(
  routing: Routing,
  candidates: Candidate[],
  now = START,
  random = seededRandom(1),
) {
  const query = { service: "zam", candidates, exclude: new Set<string>() };
  const choice = choose(routing, query, now, random);
  return choice.kind === "chosen"
    ? { address: choice.candidate.address, reason: choice.reason }
    : { address: "", reason: choice.reason };
}

/** Returns how many of 1000 choices go to each address. */
function shares(routing: Routing, candidates: Candidate[], now = START) {
  const random = seededRandom(1);
  const counts: Record<string, number> = {};
  for (let round = 0; round < 1000; round++) {
    const { address } = pickAt(routing, candidates, now, random);
    counts[address] = (counts[address] ?? 0) + 1;
  }
  return counts;
}

function attempt(
  routing: Routing,
  address: string,
  outcome: Outcome,
  now = START,
): void {
  begin(routing, address, now);
  end(routing, { address, outcome, load: null }, now);
}

const trio = ["a", "b", "c"].map((name) => candidate(name));

test("overload rejections don't eject a daemon", (t) => {
  const routing = createRouting("suva");
  pickAt(routing, trio);
  for (let count = 0; count < 9; count++) attempt(routing, "a", OVERLOAD);
  t.is(routing.observations.get("a")?.ejectedUntil, 0);
});

test("ejected daemon gets a single probe", (t) => {
  const routing = createRouting("suva");
  pickAt(routing, trio);
  for (let count = 0; count < 3; count++) attempt(routing, "a", LOST);
  t.is(shares(routing, trio)["a"], undefined);
  const due = START + 500;
  t.deepEqual(pickAt(routing, trio, due), { address: "a", reason: "probe" });
  begin(routing, "a", due);
  t.is(shares(routing, trio, due)["a"], undefined);
  end(routing, { address: "a", outcome: LOST, load: null }, due);
  t.is(routing.observations.get("a")?.ejectedUntil, due + 1000);
  attempt(routing, "a", ANSWERED, due + 1000);
  const back = shares(routing, trio, due + 1001)["a"]!;
  t.true(back > 0 && back < 200);
});

test("at most half of the candidates are ejected", (t) => {
  const size = fc.integer({ min: 1, max: 12 });
  const failing = fc.array(fc.nat(11), { maxLength: 100 });
  fc.assert(fc.property(size, size, failing, (before, after, order) => {
    const routing = createRouting("suva");
    const all = Array.from({ length: before }, (_, at) => candidate(`${at}`));
    pickAt(routing, all);
    for (const at of order) attempt(routing, `${at % before}`, LOST);
    for (const candidates of [all, all.slice(0, after)]) {
      pickAt(routing, candidates);
      const ejected = candidates.filter(({ address }) =>
        routing.observations.get(address)!.ejectedUntil > 0
      );
      t.true(ejected.length * 2 <= candidates.length);
    }
  }));
});

test("leaving daemon isn't chosen until its entry changes", (t) => {
  const routing = createRouting("suva");
  pickAt(routing, trio);
  attempt(routing, "a", LEAVING);
  t.is(shares(routing, [...trio])["a"], undefined);
  const changed = [candidate("a", { sequence: 2 }), ...trio.slice(1)];
  t.true(shares(routing, changed)["a"]! > 0);
});

test("data centre spills over gradually as it fills up", (t) => {
  const far = candidate("far", { dataCentre: "nadi" });
  const spilled = [0, 0.85, 2].map((load) => {
    const routing = createRouting("suva");
    begin(routing, "a", START);
    end(routing, { address: "a", outcome: ANSWERED, load }, START);
    return shares(routing, [candidate("a"), far])["far"] ?? 0;
  });
  t.is(spilled[0], 0);
  t.true(spilled[1]! > 300 && spilled[1]! < 700);
  t.is(spilled[2], 1000);
});

test("requests go elsewhere if all daemons of a data centre fail", (t) => {
  const routing = createRouting("suva");
  const all = [...trio, candidate("far", { dataCentre: "nadi" })];
  pickAt(routing, all);
  for (let count = 0; count < 3; count++) {
    for (const { address } of trio) attempt(routing, address, LOST);
  }
  t.is(shares(routing, all)["far"], 1000);
});

test("cold server gets a small share until it is warm", (t) => {
  const cold = candidate("a", { since: START - 100, warmupMs: 1000 });
  const candidates = [cold, ...trio.slice(1)];
  t.true((shares(createRouting("suva"), candidates)["a"] ?? 0) < 150);
  const warm = shares(createRouting("suva"), candidates, START + 2000);
  t.true(warm["a"]! > 250);
});

test("connections are bounded and evenly spread over daemons", (t) => {
  const all = Array.from({ length: 200 }, (_, at) => candidate(`10.0.0.${at}`));
  const counts = new Map<string, number>();
  for (let daemon = 0; daemon < 400; daemon++) {
    const routing = createRouting("suva", `10.0.1.${daemon}`);
    const kept = subset(routing, all);
    t.is(kept.length, 32);
    t.deepEqual(kept, subset(routing, [...all].reverse()));
    for (const { address } of kept) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
  }
  // The mean is 64; 4 standard deviations are about 29.
  for (const { address } of all) {
    const count = counts.get(address) ?? 0;
    t.true(count > 35 && count < 93);
  }
});

test("observations of departed daemons are removed", (t) => {
  const routing = createRouting("suva");
  pickAt(routing, trio);
  attempt(routing, "a", ANSWERED);
  pickAt(routing, trio.slice(1));
  sweepObservations(routing, START + 60_000);
  t.deepEqual([...routing.observations.keys()], ["b", "c"]);
  sweepObservations(routing, START + 300_000);
  t.is(routing.observations.size, 0);
});

test("own server is preferred only while it is idle", (t) => {
  const routing = createRouting("suva", "self");
  const candidates = [candidate("self"), candidate("a"), candidate("b")];
  t.is(pickAt(routing, candidates).reason, "own-server");
  for (let open = 0; open < 2; open++) begin(routing, "self", START);
  t.not(pickAt(routing, candidates).address, "self");
});
