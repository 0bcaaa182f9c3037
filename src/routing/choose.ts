import type { Random } from "../core/random.ts";
import type { Candidate } from "./candidate.ts";
import { cost } from "./cost.ts";
import type { Member } from "./member.ts";
import { pickOfTwo } from "./pick_of_two.ts";
import type { Pool } from "./pool.ts";
import { poolFor } from "./pool_for.ts";
import type { Routing } from "./routing.ts";
import { isUsable } from "./is_usable.ts";

/** Service that an attempt is for, and the daemons that it may go to. */
type Query = {
  service: string;
  /** Compared by identity with the previous list; `membership` caches it. */
  candidates: readonly Candidate[];
  /** Addresses already tried or excluded by shedding. */
  exclude: ReadonlySet<string>;
};

/** The chosen daemon, with the reason and number of candidates for the log. */
type Choice =
  | { kind: "chosen"; candidate: Candidate; reason: string; considered: number }
  | { kind: "none"; reason: string };

/** Difference in cost that justifies a hop to another daemon. */
const HOP_COST = 0.1;
/** Cost above which requests start to spill over to other data centres. */
const MIN_SPILL_COST = 0.7;
/** Cost from which all requests spill over if other data centres cost less. */
const FULL_SPILL_COST = 1.2;

/**
 * Chooses a daemon for an attempt: the less costly of two random ones in the
 * local data centre, or this daemon's own server where that is about as idle
 * and saves a hop. As the local data centre fills up, a growing share spills
 * over to others. A daemon whose ejection has run out gets a single probe.
 */
export function choose(
  routing: Routing,
  query: Query,
  now: number,
  random: Random,
): Choice {
  const { candidates, exclude } = query;
  if (candidates.length === 0) return { kind: "none", reason: "no-candidate" };
  const pool = poolFor(routing, query.service, candidates);
  pool.usedAt = now;
  const probe = dueProbe(pool, exclude, now);
  if (probe !== null) return chosen(probe, "probe", pool.members.length);
  const local = pickOfTwo({ members: pool.local, exclude }, now, random);
  const { self } = pool;
  if (self !== null && isUsable(self, exclude)) {
    const maxCost = Math.min(
      MIN_SPILL_COST,
      (local?.cost ?? Infinity) + HOP_COST,
    );
    if (cost(self, now) <= maxCost) return chosen(self, "own-server", 1);
  }
  if (local !== null && !shouldSpill(local.cost, random)) {
    return chosen(local.member, "own-data-centre", pool.local.length);
  }
  const remote = pickOfTwo({ members: pool.remote, exclude }, now, random);
  if (local !== null && (remote === null || remote.cost >= local.cost)) {
    return chosen(local.member, "own-data-centre", pool.local.length);
  }
  if (remote === null) return { kind: "none", reason: "all-excluded" };
  const reason = local === null ? "other-data-centre" : "spill-over";
  return chosen(remote.member, reason, pool.remote.length);
}

/** The share grows with the load, so that other data centres fill gradually. */
function shouldSpill(cost: number, random: Random): boolean {
  return cost > MIN_SPILL_COST &&
    random() * (FULL_SPILL_COST - MIN_SPILL_COST) < cost - MIN_SPILL_COST;
}

function dueProbe(
  pool: Pool,
  exclude: ReadonlySet<string>,
  now: number,
): Member | null {
  for (const member of pool.ejected) {
    const { observation, candidate } = member;
    if (
      now >= observation.ejectedUntil && !observation.probing &&
      observation.leaving === null && !exclude.has(candidate.address)
    ) return member;
  }
  return null;
}

function chosen(member: Member, reason: string, considered: number): Choice {
  return { kind: "chosen", candidate: member.candidate, reason, considered };
}
