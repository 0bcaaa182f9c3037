import test from "ava";
import { seededRandom } from "../core/seeded_random.ts";
import { admit } from "./admit.ts";
import { createAdmission } from "./create_admission.ts";
import { trackRoot } from "./track_root.ts";
import { updateAdmission } from "./update_admission.ts";

const STEP_MS = 50;
// Slots of the deep service, all used by the origin under test.
const SLOTS = 20;

type Root = { rank: number; costMs: number; perS: number };

/**
 * Simulates requests of several roots that share a deep service: each admitted
 * request holds a slot there for its cost, as soon as one is free. Returns, for
 * each phase, the share of each root that was admitted, and the load.
 */
function simulate(
  phases: readonly { forMs: number; roots: Record<string, Root> }[],
) {
  const random = seededRandom(5);
  const admission = createAdmission(0);
  const queue: number[] = [];
  const slots = new Array<number>(SLOTS).fill(0);
  let now = 0;
  return phases.map(({ forMs, roots }) => {
    const requested: Record<string, number> = {};
    const admitted: Record<string, number> = {};
    const loads: number[] = [];
    const end = now + forMs;
    while (now < end) {
      now += STEP_MS;
      for (const [name, { rank, costMs, perS }] of Object.entries(roots)) {
        const costs = costMs === 0 ? [] : [{ service: "deep", slotMs: costMs }];
        const count = Math.floor(perS * STEP_MS / 1_000 + random());
        for (let i = 0; i < count; i++) {
          trackRoot(admission, name, rank, costs, now);
          requested[name] = (requested[name] ?? 0) + 1;
          if (!admit(admission, name, random).admitted) continue;
          admitted[name] = (admitted[name] ?? 0) + 1;
          if (costMs > 0) queue.push(costMs);
        }
      }
      for (const [at, freeAt] of slots.entries()) {
        if (freeAt > now || queue.length === 0) continue;
        slots[at] = Math.max(freeAt, now - STEP_MS) + queue.shift()!;
      }
      const running = slots.filter((freeAt) => freeAt > now).length;
      const load = (running + queue.length) / SLOTS;
      loads.push(load);
      updateAdmission(admission, new Map([["deep", load]]), now);
    }
    const share = Object.fromEntries(
      Object.keys(requested).map((name) => [
        name,
        (admitted[name] ?? 0) / requested[name]!,
      ]),
    );
    return { share, mean: loads.reduce((a, b) => a + b) / loads.length, loads };
  });
}

const costly = { rank: 2, costMs: 440 };
const cheap = { rank: 1, costMs: 88 };
const important = { rank: 0, costMs: 440 };
const unrelated = { rank: 2, costMs: 0, perS: 30 };

/** Roots that need `slots` of the deep service, mostly the least important. */
function demand(slots: number): Record<string, Root> {
  return {
    costly: { ...costly, perS: slots * 0.6 / 0.44 },
    important: { ...important, perS: slots * 0.25 / 0.44 },
    cheap: { ...cheap, perS: slots * 0.15 / 0.088 },
    unrelated,
  };
}

test("a service with spare capacity refuses nothing", (t) => {
  const [normal] = simulate([{ forMs: 10_000, roots: demand(0.7 * SLOTS) }]);
  t.deepEqual(normal!.share, {
    costly: 1,
    important: 1,
    cheap: 1,
    unrelated: 1,
  });
});

test("overload refuses the least important root and keeps the slots full", (t) => {
  const [, overload] = simulate([
    { forMs: 3_000, roots: demand(0.7 * SLOTS) },
    { forMs: 20_000, roots: demand(1.6 * SLOTS) },
  ]);
  const { share, mean } = overload!;
  t.true(share.important! > 0.95);
  t.true(share.cheap! > 0.9);
  t.true(share.costly! < 0.6 && share.costly! > 0.2);
  t.is(share.unrelated, 1);
  t.true(mean > 0.8 && mean < 1.3, `mean load ${mean}`);
});

test("a cheap root isn't refused while less important ones use capacity", (t) => {
  // Most of the slots are used by the most important root, with fluctuations.
  const roots = {
    important: { rank: 0, costMs: 125, perS: 0.7 * SLOTS / 0.125 },
    cheap: { rank: 1, costMs: 24, perS: 0.04 * SLOTS / 0.024 },
    costly: { rank: 2, costMs: 250, perS: 1.2 * SLOTS / 0.25 },
  };
  const [, overload] = simulate([
    { forMs: 3_000, roots: demand(0.5 * SLOTS) },
    { forMs: 20_000, roots },
  ]);
  const { share } = overload!;
  t.log(share);
  // No important root below 99% while less important ones use capacity.
  t.true(share.cheap! > 0.99);
  t.true(share.important! > 0.99);
});

test("the start of a burst is limited before a long queue builds up", (t) => {
  const [, burst] = simulate([
    { forMs: 5_000, roots: demand(0.75 * SLOTS) },
    { forMs: 3_000, roots: demand(1.5 * SLOTS) },
  ]);
  t.true(Math.max(...burst!.loads) < 2, `${Math.max(...burst!.loads)}`);
});

test("refusals end within a second of the burst", (t) => {
  const [, , , after] = simulate([
    { forMs: 5_000, roots: demand(0.7 * SLOTS) },
    { forMs: 10_000, roots: demand(2 * SLOTS) },
    { forMs: 1_000, roots: demand(0.6 * SLOTS) },
    { forMs: 5_000, roots: demand(0.6 * SLOTS) },
  ]);
  t.true(after!.share.costly! > 0.99);
});

test("no root is starved where the important ones alone are too many", (t) => {
  const roots = {
    important: { ...important, perS: 1.5 * SLOTS / 0.44 },
    costly: { ...costly, perS: SLOTS / 0.44 },
  };
  const [, overload] = simulate([
    { forMs: 3_000, roots: demand(0.5 * SLOTS) },
    { forMs: 15_000, roots },
  ]);
  const { share, mean } = overload!;
  t.true(share.costly! > 0.02);
  t.true(share.important! > 0.5);
  t.true(mean < 1.6, `mean load ${mean}`);
});
