import { LIMIT_ALGORITHMS } from "../../src/admission/limit_algorithms.ts";
import { tick } from "../../src/admission/tick.ts";
import { seededRandom } from "../../src/core/seeded_random.ts";
import type { Calendar } from "./calendar.ts";
import { createServer } from "./create_server.ts";
import { runUntil } from "./run_until.ts";
import { serve } from "./serve.ts";
import type { Server } from "./server.ts";
import { settle } from "./settle.ts";

const SEEDS = [1, 2, 3];
const SLOTS = 110;
/** What the server really runs at once without slowing down. */
const REAL_SLOTS = 40;
const SERVICE_MS = 10;
const DEADLINE_MS = 100;
const UNTIL_MS = 8000;
const FAULT_FROM_MS = 2000;
const FAULT_TO_MS = 4000;
const TICK_MS = 50;
/** Requests per ms that the server can do at best. */
const BEST_PER_MS = REAL_SLOTS / SERVICE_MS;
const SURGE_FROM_MS = 1000;

/** Offered load as a multiple of the best. */
const offeredTimes = (now: number) => now < SURGE_FROM_MS ? 0.5 : 1.5;

const CONTENDED = (inFlight: number) =>
  SERVICE_MS * Math.max(1, inFlight / REAL_SLOTS);

/** Service times of a server that is not what it announces. */
const SERVERS: Record<string, Server["serviceMs"]> = {
  contended: CONTENDED,
  // Beyond its real slots it loses throughput, for example by paging.
  thrashing: (inFlight) =>
    SERVICE_MS * Math.max(1, (inFlight / REAL_SLOTS) ** 2),
  slow: (inFlight, now) =>
    CONTENDED(inFlight) *
    (now >= FAULT_FROM_MS && now < FAULT_TO_MS ? 5 : 1),
  cold: (inFlight, now) =>
    CONTENDED(inFlight) * Math.max(1, 6 - 5 * now / FAULT_FROM_MS),
  sheds: (inFlight) => inFlight > REAL_SLOTS ? 0 : SERVICE_MS,
};

/** Prints goodput of one server by algorithm of the concurrency limit. */
export function compareLimits(): void {
  console.log(
    "limit: answers within the deadline as a share of the best possible, " +
      "and the mean limit; 110 slots announced, 40 real",
  );
  for (const algorithm of Object.keys(LIMIT_ALGORITHMS)) {
    for (const [name, serviceMs] of Object.entries(SERVERS)) {
      const runs = SEEDS.map((seed) =>
        run(serviceMs, algorithm as keyof typeof LIMIT_ALGORITHMS, seed)
      );
      const mean = (
        pick: (each: typeof runs[number]) => number,
      ) => (runs.reduce((sum, each) => sum + pick(each), 0) / runs.length);
      console.log(
        `algorithm=${algorithm} server=${name}` +
          ` goodput=${mean((each) => each.goodput).toFixed(3)}` +
          ` last_2s=${mean((each) => each.late).toFixed(3)}` +
          ` limit=${mean((each) => each.limit).toFixed(1)}` +
          ` shed_by_server=${mean((each) => each.failed).toFixed(3)}`,
      );
    }
  }
}

function run(
  serviceMs: Server["serviceMs"],
  algorithm: keyof typeof LIMIT_ALGORITHMS,
  seed: number,
): { goodput: number; late: number; limit: number; failed: number } {
  const random = seededRandom(seed);
  const calendar: Calendar = { now: 0, due: new Map() };
  let failed = 0;
  const counted = (inFlight: number, now: number) => {
    const mean = serviceMs(inFlight, now);
    if (mean === 0) failed += 1;
    return mean;
  };
  const server = createServer(calendar, {
    slots: SLOTS,
    serviceMs: counted,
    random,
  });
  server.admission.limiter.algorithm = algorithm;
  let good = 0;
  let late = 0;
  let limit = 0;
  let owed = 0;
  let offered = 0;
  runUntil(calendar, UNTIL_MS, (now) => {
    for (
      owed += BEST_PER_MS * offeredTimes(now) * 2 * random();
      owed >= 1;
      owed--
    ) {
      offered += 1;
      const deadlineAt = now + DEADLINE_MS;
      serve(server, {
        priority: Math.floor(random() * 384),
        department: "department",
        deadlineAt,
        done: (served) => {
          if (!served || calendar.now > deadlineAt) return;
          good += 1;
          if (calendar.now > UNTIL_MS - 2000) late += 1;
        },
      });
    }
    limit += server.admission.limit;
    if (now % TICK_MS === 0) settle(server, tick(server.admission, now));
  });
  const best = BEST_PER_MS * (UNTIL_MS - SURGE_FROM_MS / 2);
  return {
    goodput: good / best,
    late: late / (BEST_PER_MS * 2000),
    limit: limit / UNTIL_MS,
    failed: failed / offered,
  };
}
