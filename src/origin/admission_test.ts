import test from "ava";
import { seededRandom } from "../core/seeded_random.ts";
import { admit } from "./admit.ts";
import { createAdmission } from "./create_admission.ts";
import { trackRoot } from "./track_root.ts";
import { updateAdmission } from "./update_admission.ts";

const STEP_MS = 50;
// Slots of the deep service, all for the origin of the test.
const SLOTS = 20;

type Root = { rank: number; costMs: number; perS: number };

/**
 * Requests of several roots that share a deep service; each admitted request
 * holds a slot there for its cost, as soon as one is free. Returns the share of
 * each root that was admitted, and the load, over the times in `phases`.
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
    const asked: Record<string, number> = {};
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
          asked[name] = (asked[name] ?? 0) + 1;
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
      Object.keys(asked).map((name) => [
        name,
        (admitted[name] ?? 0) / asked[name]!,
      ]),
    );
    return { share, mean: loads.reduce((a, b) => a + b) / loads.length, loads };
  });
}

const dear = { rank: 2, costMs: 440 };
const cheap = { rank: 1, costMs: 88 };
const paid = { rank: 0, costMs: 440 };
const apart = { rank: 2, costMs: 0, perS: 30 };

/** Demand for `slots` of the deep service, mostly by the least important. */
function demand(slots: number): Record<string, Root> {
  return {
    dear: { ...dear, perS: slots * 0.6 / 0.44 },
    paid: { ...paid, perS: slots * 0.25 / 0.44 },
    cheap: { ...cheap, perS: slots * 0.15 / 0.088 },
    apart,
  };
}

test("a service with room refuses nothing", (t) => {
  const [calm] = simulate([{ forMs: 10_000, roots: demand(0.7 * SLOTS) }]);
  t.deepEqual(calm!.share, { dear: 1, paid: 1, cheap: 1, apart: 1 });
});

test("overload refuses the least important root and keeps the slots full", (t) => {
  const [, heavy] = simulate([
    { forMs: 3_000, roots: demand(0.7 * SLOTS) },
    { forMs: 20_000, roots: demand(1.6 * SLOTS) },
  ]);
  const { share, mean } = heavy!;
  t.true(share.paid! > 0.95);
  t.true(share.cheap! > 0.9);
  t.true(share.dear! < 0.6 && share.dear! > 0.2);
  t.is(share.apart, 1);
  t.true(mean > 0.8 && mean < 1.3, `mean load ${mean}`);
});

test("a cheap root is refused for the room that dear ones take", (t) => {
  // Most of the slots go to the most important root and its ups and downs.
  const roots = {
    paid: { rank: 0, costMs: 125, perS: 0.7 * SLOTS / 0.125 },
    cheap: { rank: 1, costMs: 24, perS: 0.04 * SLOTS / 0.024 },
    dear: { rank: 2, costMs: 250, perS: 1.2 * SLOTS / 0.25 },
  };
  const [, heavy] = simulate([
    { forMs: 3_000, roots: demand(0.5 * SLOTS) },
    { forMs: 20_000, roots },
  ]);
  const { share } = heavy!;
  t.log(share);
  // No important class below 99% while less important work takes room.
  t.true(share.cheap! > 0.99);
  t.true(share.paid! > 0.99);
});

test("the front of a burst is cut before a long queue builds up", (t) => {
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
  t.true(after!.share.dear! > 0.99);
});

test("when even the important roots are too many, none is starved", (t) => {
  const roots = {
    paid: { ...paid, perS: 1.5 * SLOTS / 0.44 },
    dear: { ...dear, perS: SLOTS / 0.44 },
  };
  const [, heavy] = simulate([
    { forMs: 3_000, roots: demand(0.5 * SLOTS) },
    { forMs: 15_000, roots },
  ]);
  const { share, mean } = heavy!;
  t.true(share.dear! > 0.02);
  t.true(share.paid! > 0.5);
  t.true(mean < 1.6, `mean load ${mean}`);
});
