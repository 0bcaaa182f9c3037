import test from "ava";
import fc from "fast-check";
import { createGate } from "./create_gate.ts";
import { expireJobs } from "./expire_jobs.ts";
import { finishJob } from "./finish_job.ts";
import type { Job } from "./job.ts";
import { offerJob } from "./offer_job.ts";
import { withdrawJob } from "./withdraw_job.ts";

function job(
  events: string[],
  name: string,
  overrides: Partial<Job> = {},
): Job {
  return {
    flow: "f",
    weight: 1,
    runMs: 50,
    expiresAt: 10_000,
    start: () => events.push(`start ${name}`),
    refuse: (reason) => events.push(`${reason} ${name}`),
    ...overrides,
  };
}

test("runs jobs up to the limit and queues the rest", (t) => {
  const events: string[] = [];
  const gate = createGate(2);
  for (const name of ["a", "b", "c"]) offerJob(gate, job(events, name), 0);
  t.deepEqual(events, ["start a", "start b"]);
  finishJob(gate, 10, 10);
  t.deepEqual(events, ["start a", "start b", "start c"]);
});

test("a flow with little demand is served before one with much", (t) => {
  const events: string[] = [];
  const gate = createGate(1);
  const heavy = (name: string) =>
    job(events, name, { flow: "heavy", weight: 4 });
  for (const name of ["a", "b", "c", "d"]) offerJob(gate, heavy(name), 0);
  for (let i = 0; i < 2; i++) finishJob(gate, 50, 0);
  offerJob(gate, job(events, "e", { flow: "light" }), 0);
  finishJob(gate, 50, 0);
  t.is(events.at(-1), "start e");
});

test("backlogged flows share the server by their weights", (t) => {
  const events: string[] = [];
  const gate = createGate(1);
  const expiresAt = 1_000_000;
  for (let i = 0; i < 40; i++) {
    offerJob(gate, job(events, "x", { flow: "x", weight: 3, expiresAt }), 0);
    offerJob(gate, job(events, "y", { flow: "y", weight: 1, expiresAt }), 0);
  }
  for (let i = 0; i < 40; i++) finishJob(gate, 50, 0);
  const first = events.filter((event) => event === "start x").length;
  t.true(first >= 28 && first <= 32, `${first} of 41`);
});

test("refuses at once a job that can't finish in time", (t) => {
  const events: string[] = [];
  const gate = createGate(1);
  offerJob(gate, job(events, "a"), 0);
  offerJob(gate, job(events, "b", { expiresAt: 60 }), 0);
  t.deepEqual(events, ["start a", "overload b"]);
});

test("refuses waiting jobs before they expire", (t) => {
  const events: string[] = [];
  const gate = createGate(1);
  offerJob(gate, job(events, "a"), 0);
  offerJob(gate, job(events, "b", { expiresAt: 200 }), 0);
  expireJobs(gate, 160, Infinity);
  t.deepEqual(events, ["start a"]);
  expireJobs(gate, 180, Infinity);
  t.deepEqual(events, ["start a", "expired b"]);
  t.is(gate.waiting, 0);
});

// Guards against the loss of jobs that still waited at a stopping daemon.
test("refuses waiting jobs that may outlast the daemon", (t) => {
  const events: string[] = [];
  const gate = createGate(1);
  offerJob(gate, job(events, "a"), 0);
  offerJob(gate, job(events, "b", { expiresAt: 10_000 }), 0);
  expireJobs(gate, 100, 1_000);
  t.deepEqual(events, ["start a"]);
  expireJobs(gate, 990, 1_000);
  t.deepEqual(events, ["start a", "leaving b"]);
  t.is(gate.waiting, 0);
});

test("a withdrawn job never starts", (t) => {
  const events: string[] = [];
  const gate = createGate(1);
  offerJob(gate, job(events, "a"), 0);
  const waiting = job(events, "b");
  offerJob(gate, waiting, 0);
  t.true(withdrawJob(gate, waiting));
  t.false(withdrawJob(gate, waiting));
  finishJob(gate, 10, 10);
  t.deepEqual(events, ["start a"]);
  t.is(gate.running, 0);
});

test("each job starts or is refused once, within the limit", (t) => {
  const step = fc.constantFrom("offer", "finish", "expire", "withdraw");
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 4 }),
      fc.array(fc.tuple(step, fc.nat(3), fc.nat(200)), { maxLength: 80 }),
      (limit, steps) => {
        const gate = createGate(limit);
        const settled = new Map<Job, number>();
        const offered: Job[] = [];
        let now = 0;
        for (const [kind, rank, ms] of steps) {
          now += ms;
          if (kind === "offer") {
            const added: Job = {
              flow: `f${rank}`,
              weight: 1 + rank,
              runMs: 50,
              expiresAt: now + 20 + ms * 5,
              start: () => settle(added),
              refuse: () => settle(added),
            };
            offered.push(added);
            offerJob(gate, added, now);
          } else if (kind === "finish" && gate.running > 0) {
            finishJob(gate, ms, now);
          } else if (kind === "expire") expireJobs(gate, now, Infinity);
          else if (kind === "withdraw") {
            const waiting = offered.find((one) => !settled.has(one));
            if (waiting && withdrawJob(gate, waiting)) settle(waiting);
          }
          t.true(gate.running <= limit);
          t.true([...settled.values()].every((count) => count === 1));
          t.is(
            gate.waiting,
            offered.filter((one) => !settled.has(one)).length,
          );
        }
        function settle(one: Job) {
          settled.set(one, (settled.get(one) ?? 0) + 1);
        }
      },
    ),
  );
});
