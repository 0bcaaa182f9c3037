import test from "ava";
import { seededRandom } from "../core/seeded_random.ts";
import type { Candidate } from "./candidate.ts";
import { chooseCandidate } from "./choose_candidate.ts";

function server(address: string, over: Partial<Candidate> = {}): Candidate {
  return {
    address,
    serverId: address,
    dataCentre: address[0]!,
    load: 0.3,
    runMs: 50,
    failureRate: 0,
    ...over,
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

test("no candidates, no choice", (t) => {
  t.is(chooseCandidate([], "a", 100, Math.random), null);
});

test("stays in the own data centre while it has room", (t) => {
  const near = server("a1", { load: 0.8 });
  t.deepEqual(shares([near, server("b1", { load: 0 })]), { a1: 1 });
});

test("a full data centre spills to a less loaded one", (t) => {
  const near = server("a1", { load: 1.1 });
  t.deepEqual(shares([near, server("b1", { load: 0.5 })]), { b1: 1 });
  t.deepEqual(shares([near, server("b1", { load: 1.05 })]), { a1: 1 });
});

test("a slow data centre spills early to a faster one with room", (t) => {
  const targetMs = 150;
  const slow = server("a1", { runMs: 88 });
  const fast = server("b1", { runMs: 38 });
  t.deepEqual(shares([slow, fast], targetMs), { b1: 1 });
  const busy = server("b1", { runMs: 38, load: 0.7 });
  t.deepEqual(shares([slow, busy], targetMs), { a1: 1 });
});

test("a slower server that is fast enough is kept", (t) => {
  const slow = server("a1", { runMs: 88 });
  t.deepEqual(shares([slow, server("b1", { runMs: 38 })], 300), { a1: 1 });
});

test("a failing server is passed over but for probes", (t) => {
  const { a1 = 0, b1 = 0 } = shares([
    server("a1", { failureRate: 0.6 }),
    server("b1"),
  ]);
  t.true(a1 > 0 && a1 < 0.06);
  t.true(b1 > 0.9);
});

test("a failing server is used where the sound ones are full", (t) => {
  const failing = server("b1", { failureRate: 0.6 });
  t.deepEqual(shares([server("a1", { load: 1.5 }), failing]), { b1: 1 });
});

test("where all fail alike, none is passed over", (t) => {
  const failing = 0.6;
  t.deepEqual(
    shares([
      server("a1", { failureRate: failing }),
      server("b1", { failureRate: failing }),
    ]),
    {
      a1: 1,
    },
  );
});
