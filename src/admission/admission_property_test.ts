import test from "ava";
import fc from "fast-check";
import { settleOne } from "../../test/support/settle_one.ts";
import { ticket } from "../../test/support/ticket.ts";
import type { Admission } from "./admission.ts";
import { createAdmission } from "./create_admission.ts";
import { offer } from "./offer.ts";
import { rankOf } from "./rank_of.ts";
import { tick } from "./tick.ts";
import type { Ticket } from "./ticket.ts";
import { withdraw } from "./withdraw.ts";

// A fixed seed makes the generated cases the same in every run.
fc.configureGlobal({ seed: 1, numRuns: 200 });

const anyEvent = fc.oneof(
  { weight: 6, arbitrary: fc.integer({ min: 0, max: 383 }) },
  { weight: 2, arbitrary: fc.constant("finish" as const) },
  {
    weight: 1,
    arbitrary: fc.constantFrom("tick" as const, "withdraw" as const),
  },
);
const anyEvents = fc.array(anyEvent, { maxLength: 300 });

/** Expected state of the tickets offered so far. */
type Model = {
  admission: Admission;
  running: Ticket[];
  waiting: Set<Ticket>;
  rejected: (ticket: Ticket) => void;
  admitted: (ticket: Ticket) => void;
};

/** Moves the started and dropped tickets out of the waiting ones. */
function settle(model: Model, out: { start: Ticket[]; drop: Ticket[] }): void {
  for (const each of [...out.start, ...out.drop]) {
    if (!model.waiting.delete(each)) throw new Error("Ticket returned twice");
  }
  model.running.push(...out.start);
  const { inFlight, limit } = model.admission;
  if (out.start.length > 0 && inFlight > limit) throw new Error("Over limit");
  if (inFlight !== model.running.length) throw new Error("Slot lost");
}

/** Applies an event; a number offers a ticket of that priority. */
function apply(model: Model, event: number | string, now: number): void {
  const { admission } = model;
  if (typeof event === "number") {
    const department = ["a", "b", "c"][event % 3]!;
    const deadlineAt = event % 5 === 0 ? now + 40 : Infinity;
    const each = ticket({ priority: event, department, deadlineAt });
    const before = admission.evicted.length;
    const decision = offer(admission, each, now);
    admission.evicted.slice(before).forEach(model.rejected);
    if (decision.kind === "run") model.running.push(each);
    if (decision.kind === "queued") model.waiting.add(each);
    if (decision.kind !== "rejected") model.admitted(each);
    else if (decision.reason === "overload") model.rejected(each);
  } else if (event === "finish" && model.running.length > 0) {
    model.running.pop();
    settle(model, settleOne(admission, now));
  } else if (event === "withdraw") {
    const [first] = model.waiting;
    if (first === undefined) return;
    if (!withdraw(admission, first.id)) throw new Error("Not withdrawn");
    model.waiting.delete(first);
  } else if (event === "tick") settle(model, tick(admission, now));
}

function createModel(slots: number): Model {
  return {
    admission: createAdmission(slots),
    running: [],
    waiting: new Set(),
    rejected: () => {},
    admitted: () => {},
  };
}

test("slots are neither lost nor taken beyond the limit", (t) => {
  fc.assert(
    fc.property(anyEvents, fc.integer({ min: 1, max: 8 }), (events, slots) => {
      const model = createModel(slots);
      events.forEach((event, index) => apply(model, event, index * 10));
      const now = events.length * 10;
      for (let left = 0; left < 1000 && model.running.length > 0; left++) {
        apply(model, "finish", now);
      }
      apply(model, "tick", now);
      t.deepEqual(
        [
          model.admission.inFlight,
          model.admission.queue.size,
          model.waiting.size,
        ],
        [0, 0, 0],
      );
    }),
  );
});

test("while the level is unchanged, no class below a rejected one is admitted", (t) => {
  fc.assert(
    fc.property(anyEvents, fc.integer({ min: 1, max: 4 }), (events, slots) => {
      const model = createModel(slots);
      let highestRejected = -1;
      let level = 0;
      model.rejected = (each) => {
        highestRejected = Math.max(highestRejected, rankOf(each.priority));
        level = model.admission.level;
      };
      model.admitted = (each) => {
        if (model.admission.level !== level) highestRejected = -1;
        t.true(rankOf(each.priority) >= highestRejected);
      };
      events.forEach((event, index) => apply(model, event, index * 10));
    }),
  );
});

test("a flooding department does not starve another one", (t) => {
  const flood = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 20 });
  fc.assert(fc.property(flood, (sizes) => {
    const admission = createAdmission(4);
    const waiting = new Set<Ticket>();
    for (let index = 0; index < 12; index++) {
      offer(admission, ticket({ priority: 127, department: "flood" }), 0);
    }
    for (const size of sizes) {
      for (let index = 0; index < size; index++) {
        offer(admission, ticket({ priority: 127, department: "flood" }), 0);
      }
      const few = ticket({ priority: 3, department: "few" });
      t.is(offer(admission, few, 0).kind, "queued");
      waiting.add(few);
      for (let index = 0; index < 2; index++) {
        const { start, drop } = settleOne(admission, 0);
        for (const each of start) waiting.delete(each);
        t.false(drop.includes(few));
      }
      t.false(waiting.has(few));
    }
  }));
});
