import { tick } from "../../src/admission/tick.ts";
import { seededRandom } from "../../src/core/seeded_random.ts";
import { createShedding } from "../../src/shedding/create_shedding.ts";
import type { Calendar } from "./calendar.ts";
import type { Chain } from "./chain.ts";
import { createServer } from "./create_server.ts";
import type { Policy } from "./policy.ts";
import { runUntil } from "./run_until.ts";
import { settle } from "./settle.ts";
import { visit } from "./visit.ts";

/** What became of one whole request. */
type Passage = { at: number; rank: number; complete: boolean };

/** Offered load over time and the level of the deepest hop at each step. */
type Surge = { passages: Passage[]; levels: number[] };

const DEPTH = 4;
const DEEPEST_SLOTS = 30;
const SERVICE_MS = 10;
/** The deepest hop is the bottleneck; the others have this much more room. */
const ROOM = 6;
const DEADLINE_MS = 1000;
const TICK_MS = 50;
/** Shares of sheddable and of sheddable and normal requests. */
const MIX = [0.7, 0.85];

/** Runs a chain at a load given as a multiple of its capacity at each time. */
export function surge(
  policy: Policy,
  { until, times, fanOut, seed }: {
    until: number;
    /** Offered load at each time, as a multiple of the capacity. */
    times: (now: number) => number;
    /** Calls that each hop makes to the next one. */
    fanOut: number;
    seed: number;
  },
): Surge {
  const random = seededRandom(seed);
  const calendar: Calendar = { now: 0, due: new Map() };
  const chain = createChain(policy, { calendar, random, fanOut });
  const deepest = chain.servers[DEPTH - 1]!;
  const perMs = DEEPEST_SLOTS / SERVICE_MS / fanOut ** (DEPTH - 1);
  const passages: Passage[] = [];
  const levels: number[] = [];
  let owed = 0;
  runUntil(calendar, until, (now) => {
    for (owed += perMs * times(now) * 2 * random(); owed >= 1; owed--) {
      passages.push(enter(chain, calendar, random));
    }
    levels.push(deepest.admission.level);
    if (policy.unlimited || now % TICK_MS !== 0) return;
    for (const server of chain.servers) {
      settle(server, tick(server.admission, now));
    }
  });
  return { passages, levels };
}

function enter(
  chain: Chain,
  calendar: Calendar,
  random: () => number,
): Passage {
  const drawn = random();
  const rank = MIX.filter((share) => drawn >= share).length;
  const passage = { at: calendar.now, rank, complete: false };
  const deadlineAt = calendar.now + DEADLINE_MS;
  const priority = rank * 128 + Math.floor(random() * 128);
  visit(chain, {
    hop: 0,
    request: { priority, deadlineAt },
    done: (complete) => {
      passage.complete = complete && calendar.now <= deadlineAt;
    },
  });
  return passage;
}

function createChain(
  policy: Policy,
  { calendar, random, fanOut }: {
    calendar: Calendar;
    random: () => number;
    fanOut: number;
  },
): Chain {
  const servers = Array.from({ length: DEPTH }, (_, hop) => {
    const share = DEEPEST_SLOTS / fanOut ** (DEPTH - 1 - hop);
    const slots = hop === DEPTH - 1 ? share : Math.ceil(share * ROOM);
    const serviceMs = () => SERVICE_MS;
    const { unlimited } = policy;
    return createServer(calendar, { slots, serviceMs, random, unlimited });
  });
  return { policy, servers, shedding: createShedding(), fanOut };
}
