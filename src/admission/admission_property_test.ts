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

// The same events in each run, so that CI gives the same verdict.
fc.configureGlobal({ seed: 1, numRuns: 200 });

const event = fc.oneof(
  { weight: 6, arbitrary: fc.integer({ min: 0, max: 383 }) },
  { weight: 2, arbitrary: fc.constant("finish" as const) },
  { weight: 1, arbitrary: fc.constantFrom("tick" as const, "leave" as const) },
);
const events = fc.array(event, { maxLength: 300 });

/** What became of the tickets that were offered. */
type Book = {
  admission: Admission;
  running: Ticket[];
  waiting: Set<Ticket>;
  rejected: (ticket: Ticket) => void;
  admitted: (ticket: Ticket) => void;
};

function handOut(book: Book, out: { start: Ticket[]; drop: Ticket[] }): void {
  for (const each of [...out.start, ...out.drop]) {
    if (!book.waiting.delete(each)) throw new Error("Handed out twice");
  }
  book.running.push(...out.start);
  const { inFlight, limit } = book.admission;
  if (out.start.length > 0 && inFlight > limit) throw new Error("Over limit");
  if (inFlight !== book.running.length) throw new Error("Slot lost");
}

function apply(book: Book, one: number | string, now: number): void {
  const { admission } = book;
  if (typeof one === "number") {
    const department = ["a", "b", "c"][one % 3]!;
    const deadlineAt = one % 5 === 0 ? now + 40 : Infinity;
    const each = ticket({ priority: one, department, deadlineAt });
    const before = admission.evicted.length;
    const decision = offer(admission, each, now);
    admission.evicted.slice(before).forEach(book.rejected);
    if (decision.kind === "run") book.running.push(each);
    if (decision.kind === "queued") book.waiting.add(each);
    if (decision.kind !== "rejected") book.admitted(each);
    else if (decision.reason === "overload") book.rejected(each);
  } else if (one === "finish" && book.running.length > 0) {
    book.running.pop();
    handOut(book, settleOne(admission, now));
  } else if (one === "leave") {
    const [first] = book.waiting;
    if (first === undefined) return;
    if (!withdraw(admission, first.id)) throw new Error("Not withdrawn");
    book.waiting.delete(first);
  } else if (one === "tick") handOut(book, tick(admission, now));
}

function open(slots: number): Book {
  return {
    admission: createAdmission(slots),
    running: [],
    waiting: new Set(),
    rejected: () => {},
    admitted: () => {},
  };
}

test("slot is lost, or taken beyond the limit", (t) => {
  fc.assert(
    fc.property(events, fc.integer({ min: 1, max: 8 }), (all, slots) => {
      const book = open(slots);
      all.forEach((one, index) => apply(book, one, index * 10));
      const now = all.length * 10;
      for (let left = 0; left < 1000 && book.running.length > 0; left++) {
        apply(book, "finish", now);
      }
      apply(book, "tick", now);
      t.deepEqual(
        [book.admission.inFlight, book.admission.queue.size, book.waiting.size],
        [0, 0, 0],
      );
    }),
  );
});

test("lower class is admitted after a higher one was rejected", (t) => {
  fc.assert(
    fc.property(events, fc.integer({ min: 1, max: 4 }), (all, slots) => {
      const book = open(slots);
      let highest = -1;
      let level = 0;
      book.rejected = (each) => {
        highest = Math.max(highest, rankOf(each.priority));
        level = book.admission.level;
      };
      book.admitted = (each) => {
        if (book.admission.level !== level) highest = -1;
        t.true(rankOf(each.priority) >= highest);
      };
      all.forEach((one, index) => apply(book, one, index * 10));
    }),
  );
});

test("flooding department starves another one", (t) => {
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
