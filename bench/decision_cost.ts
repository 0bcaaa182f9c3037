import { createAdmission } from "../src/admission/create_admission.ts";
import { finish } from "../src/admission/finish.ts";
import { offer } from "../src/admission/offer.ts";
import { tick } from "../src/admission/tick.ts";
import type { Ticket } from "../src/admission/ticket.ts";
import { seededRandom } from "../src/core/seeded_random.ts";
import type { Outcome } from "../src/outcomes/outcome.ts";
import { begin } from "../src/routing/begin.ts";
import type { Candidate } from "../src/routing/candidate.ts";
import { choose } from "../src/routing/choose.ts";
import { createRouting } from "../src/routing/create_routing.ts";
import { end } from "../src/routing/end.ts";
import { createShedding } from "../src/shedding/create_shedding.ts";
import { recordLevel } from "../src/shedding/record_level.ts";
import { permits } from "../src/shedding/permits.ts";
import { decideShedding } from "../src/shedding/decide_shedding.ts";

// Measures the decisions themselves; node --import=tsx bench/decision_cost.ts
const ROUNDS = 500_000;
const REPEATS = 5;
const TICK_ROUNDS = 20_000;
const SLOTS = 110;
const NONE: ReadonlySet<string> = new Set();
const ANSWERED: Outcome = { kind: "answered", status: 200 };

measureChoose(3);
measureChoose(100);
measureAdmission("offer_and_finish_free", 0);
measureAdmission("offer_and_finish_queued", SLOTS * 1.5);
measureAdmission("offer_and_finish_full", SLOTS * 4);
measureTick();
measureShedding(3);
measureShedding(100);

/** Prints the best of several runs, in ns per call. */
function report(name: string, rounds: number, work: () => void): void {
  let best = Infinity;
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const from = process.hrtime.bigint();
    work();
    const ns = Number(process.hrtime.bigint() - from) / rounds;
    best = Math.min(best, ns);
  }
  console.log(`${name}=${best.toFixed(0)}ns`);
}

function measureChoose(size: number): void {
  const random = seededRandom(1);
  const routing = createRouting("suva", "127.0.1.1:7001");
  const candidates: Candidate[] = Array.from({ length: size }, (_, index) => ({
    address: `127.0.${index % 3}.${index}:7001`,
    dataCentre: ["suva", "nadi", "lautoka"][index % 3]!,
    slots: SLOTS,
    since: 0,
    warmupMs: 1000,
  }));
  const query = { service: "service", candidates, exclude: NONE };
  const heap = process.memoryUsage().heapUsed;
  report(`choose_${size}`, ROUNDS, () => {
    for (let round = 0; round < ROUNDS; round++) {
      choose(routing, query, round / 100, random);
    }
  });
  report(`choose_begin_end_${size}`, ROUNDS, () => {
    for (let round = 0; round < ROUNDS; round++) {
      const now = round / 100;
      const choice = choose(routing, query, now, random);
      if (choice.kind !== "chosen") throw new Error("No candidate");
      const { address } = choice.candidate;
      begin(routing, address, now);
      end(routing, { address, outcome: ANSWERED, load: 0.5 }, now);
    }
  });
  report(`choose_rebuilt_${size}`, TICK_ROUNDS, () => {
    for (let round = 0; round < TICK_ROUNDS; round++) {
      const changed = { ...query, candidates: [...candidates] };
      choose(routing, changed, round / 100, random);
    }
  });
  const grown = process.memoryUsage().heapUsed - heap;
  console.log(`choose_${size}_heap_growth=${(grown / 1e6).toFixed(1)}MB`);
}

/** Keeps so many requests open and replaces one in each round. */
function measureAdmission(name: string, open: number): void {
  const admission = createAdmission(SLOTS);
  const running: Ticket[] = [];
  const random = seededRandom(1);
  const tickets = Array.from({ length: 10_000 }, (_, index) => ({
    id: String(index),
    priority: Math.floor(random() * 384),
    department: `department-${index % 4}`,
    deadlineAt: Infinity,
    start: () => {},
    drop: () => {},
  }));
  let next = 0;
  const one = () => {
    const ticket = { ...tickets[next]! };
    next = (next + 1) % tickets.length;
    if (offer(admission, ticket, 0).kind === "run") running.push(ticket);
  };
  for (let index = 0; index < open; index++) one();
  report(name, ROUNDS, () => {
    for (let round = 0; round < ROUNDS; round++) {
      one();
      const ticket = running.pop();
      if (ticket === undefined) continue;
      const ending = { ticket, serviceMs: 10, nestedMs: 0, outcome: ANSWERED };
      running.push(...finish(admission, ending, 0).start);
    }
  });
}

function measureTick(): void {
  const admission = createAdmission(SLOTS);
  const random = seededRandom(1);
  report("tick", TICK_ROUNDS, () => {
    for (let round = 0; round < TICK_ROUNDS; round++) {
      admission.demand.counts[Math.floor(random() * 384)]! += 1;
      tick(admission, round * 50);
    }
  });
}

function measureShedding(size: number): void {
  const shedding = createShedding();
  const service = "service";
  const daemons = Array.from({ length: size }, (_, index) => `daemon-${index}`);
  for (const daemon of daemons) {
    recordLevel(shedding, { service, daemon, level: 100 }, 0);
  }
  const daemon = daemons[0]!;
  report(`permits_${size}`, ROUNDS, () => {
    for (let round = 0; round < ROUNDS; round++) {
      permits(shedding, { service, daemon, priority: round % 384 }, 1);
    }
  });
  report(`screen_${size}`, ROUNDS / 10, () => {
    for (let round = 0; round < ROUNDS / 10; round++) {
      decideShedding(shedding, { service, daemons, priority: round % 384 }, 1);
    }
  });
}
