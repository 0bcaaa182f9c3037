import { load } from "../../src/admission/load.ts";
import { tick } from "../../src/admission/tick.ts";
import type { Random } from "../../src/core/random.ts";
import { seededRandom } from "../../src/core/seeded_random.ts";
import { begin } from "../../src/routing/begin.ts";
import type { Candidate } from "../../src/routing/candidate.ts";
import { choose } from "../../src/routing/choose.ts";
import { createRouting } from "../../src/routing/create_routing.ts";
import { end } from "../../src/routing/end.ts";
import type { Routing } from "../../src/routing/routing.ts";
import type { Calendar } from "./calendar.ts";
import { createServer } from "./create_server.ts";
import { runUntil } from "./run_until.ts";
import { serve } from "./serve.ts";
import type { Server } from "./server.ts";
import { settle } from "./settle.ts";

const SEED = 1;
const SLOTS = 30;
const SERVICE_MS = 10;
const SLOWER = 4;
const SOURCES = 4;
const DEADLINE_MS = 200;
const UNTIL_MS = 4000;
const TICK_MS = 50;
const LOADS = [0.5, 0.7, 0.9];
const SIZES = [3, 10];
const NONE: ReadonlySet<string> = new Set();

/** One source of requests. */
type Source = { routing: Routing; turn: number };

/** Returns the index of the candidate for the next request. */
type Choose = (
  source: Source,
  candidates: Candidate[],
  now: number,
  random: Random,
) => number;

const CHOICES: Record<string, Choose> = {
  two_choices: ({ routing }, candidates, now, random) => {
    const query = { service: "service", candidates, exclude: NONE };
    const choice = choose(routing, query, now, random);
    return choice.kind === "chosen" ? candidates.indexOf(choice.candidate) : 0;
  },
  round_robin: (source, candidates) => {
    source.turn += 1;
    return source.turn % candidates.length;
  },
  random: (_source, candidates, _now, random) =>
    Math.floor(random() * candidates.length),
};

/** Prints goodput and latency by choice of daemon with one slow server. */
export function compareRouting(): void {
  console.log(
    `routing: one server ${SLOWER} times slower, load as a share of the ` +
      "capacity of all",
  );
  for (const size of SIZES) {
    for (const share of LOADS) {
      for (const [name, choice] of Object.entries(CHOICES)) {
        const times = run(choice, size, share).sort((a, b) => a - b);
        const quantile = (at: number) =>
          times[Math.floor(at * (times.length - 1))]!;
        const good = times.filter((time) => time <= DEADLINE_MS).length;
        console.log(
          `servers=${size} load=${share} choice=${name}` +
            ` complete=${(good / times.length).toFixed(4)}` +
            ` p50=${quantile(0.5)}ms p99=${quantile(0.99)}ms`,
        );
      }
    }
  }
}

/** Returns the latency of each request, infinite where it was rejected. */
function run(choice: Choose, size: number, share: number): number[] {
  const random = seededRandom(SEED);
  const calendar: Calendar = { now: 0, due: new Map() };
  const servers = Array.from({ length: size }, (_, index) => {
    const serviceMs = () => index === 0 ? SERVICE_MS * SLOWER : SERVICE_MS;
    return createServer(calendar, { slots: SLOTS, serviceMs, random });
  });
  const candidates = servers.map((_, index) => ({
    address: `127.0.0.${index}:7001`,
    dataCentre: "suva",
    slots: SLOTS,
    since: -1e6,
    warmupMs: 0,
  }));
  const sources = Array.from({ length: SOURCES }, () => ({
    routing: createRouting("suva"),
    turn: Math.floor(random() * size),
  }));
  const times: number[] = [];
  const perMs = share * (size - 1 + 1 / SLOWER) * SLOTS / SERVICE_MS;
  let owed = 0;
  runUntil(calendar, UNTIL_MS, (now) => {
    for (owed += perMs * 2 * random(); owed >= 1; owed--) {
      const source = sources[Math.floor(random() * SOURCES)]!;
      const index = choice(source, candidates, now, random);
      const { address } = candidates[index]!;
      send({ server: servers[index]!, source, address, times }, random);
    }
    if (now % TICK_MS !== 0) return;
    for (const server of servers) settle(server, tick(server.admission, now));
  });
  return times;
}

function send(
  { server, source, address, times }: {
    server: Server;
    source: Source;
    address: string;
    times: number[];
  },
  random: Random,
): void {
  const { calendar } = server;
  const at = calendar.now;
  begin(source.routing, address, at);
  serve(server, {
    priority: Math.floor(random() * 384),
    department: "department",
    deadlineAt: at + DEADLINE_MS,
    done: (served) => {
      times.push(served ? calendar.now - at : Infinity);
      end(source.routing, {
        address,
        outcome: served
          ? { kind: "answered", status: 200 }
          : { kind: "not-run", reason: "overload" },
        load: load(server.admission),
      }, calendar.now);
    },
  });
}
