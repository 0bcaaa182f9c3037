import test from "ava";
import { seededRandom } from "../core/seeded_random.ts";
import type { Candidate } from "./candidate.ts";
import { chooseCandidate } from "./choose_candidate.ts";

function server(
  address: string,
  overrides: Partial<Candidate> = {},
): Candidate {
  return {
    address,
    serverId: address,
    dataCentre: address[0]!,
    load: 0.3,
    runMs: 50,
    failureRate: 0,
    ...overrides,
  };
}

function shares(
  candidates: Candidate[],
  targetMs = 1_000,
  draws = 1_000,
): Record<string, number> {
  const random = seededRandom(7);
  const counts: Record<string, number> = {};
  for (let i = 0; i < draws; i++) {
    const { address } = chooseCandidate(candidates, "a", targetMs, random)!;
    counts[address] = (counts[address] ?? 0) + 1;
  }
  return Object.fromEntries(
    Object.entries(counts).map(([address, count]) => [address, count / draws]),
  );
}

test("returns null without candidates", (t) => {
  t.is(chooseCandidate([], "a", 100, Math.random), null);
});

test("stays in the local data centre while it has capacity", (t) => {
  const local = server("a1", { load: 0.8 });
  t.deepEqual(shares([local, server("b1", { load: 0 })]), { a1: 1 });
});

test("a full data centre spills over to a less loaded one", (t) => {
  const local = server("a1", { load: 1.1 });
  t.deepEqual(shares([local, server("b1", { load: 0.5 })]), { b1: 1 });
  t.deepEqual(shares([local, server("b1", { load: 1.05 })]), { a1: 1 });
});

test("a slow data centre spills over early to a faster one with capacity", (t) => {
  const targetMs = 150;
  const slow = server("a1", { runMs: 88 });
  const fast = server("b1", { runMs: 38 });
  t.deepEqual(shares([slow, fast], targetMs), { b1: 1 });
  const busy = server("b1", { runMs: 38, load: 0.7 });
  t.deepEqual(shares([slow, busy], targetMs), { a1: 1 });
});

test("a slower local server that is fast enough is preferred", (t) => {
  const slow = server("a1", { runMs: 88 });
  t.deepEqual(shares([slow, server("b1", { runMs: 38 })], 300), { a1: 1 });
});

test("a failing server gets only probes", (t) => {
  const { a1 = 0, b1 = 0 } = shares([
    server("a1", { failureRate: 0.6 }),
    server("b1"),
  ]);
  t.true(a1 > 0 && a1 < 0.06);
  t.true(b1 > 0.9);
});

test("a failing server is used where the healthy ones are full", (t) => {
  const failing = server("b1", { failureRate: 0.6 });
  t.deepEqual(shares([server("a1", { load: 1.5 }), failing]), { b1: 1 });
});

test("no server is avoided where all fail alike", (t) => {
  const failureRate = 0.6;
  t.deepEqual(
    shares([
      server("a1", { failureRate }),
      server("b1", { failureRate }),
    ]),
    {
      a1: 1,
    },
  );
});
