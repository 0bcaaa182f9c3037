import type { Random } from "../core/random.ts";
import type { Candidate } from "./candidate.ts";
import { cost } from "./cost.ts";
import type { Member } from "./member.ts";
import { pickOfTwo } from "./pick_of_two.ts";
import type { Pool } from "./pool.ts";
import { poolFor } from "./pool_for.ts";
import type { Routing } from "./routing.ts";
import { isUsable } from "./is_usable.ts";

/** One choice to make. */
type Query = {
  service: string;
  /** Compared by identity with the latest ones; see `membership`. */
  candidates: readonly Candidate[];
  /** Addresses already tried or excluded by shedding. */
  exclude: ReadonlySet<string>;
};

/** The chosen daemon and why, for the log line of the decision. */
type Choice =
  | { kind: "chosen"; candidate: Candidate; reason: string; considered: number }
  | { kind: "none"; reason: string };

/** Difference in cost that is worth a hop to another daemon. */
const HOP_COST = 0.1;
/** Cost at which the own data centre starts to spill over. */
const SPILL_FROM = 0.7;
/** Cost at which it spills over whatever another data centre takes more easily. */
const SPILL_ALL = 1.2;

/**
 * Chooses a daemon for an attempt: two random choices in the own data centre,
 * the less loaded wins, unless the own server is about as idle and saves the
 * hop; another data centre takes a growing share as the own
 * one fills. An ejected daemon whose time is over gets a single probe.
 */
export function choose(
  routing: Routing,
  query: Query,
  now: number,
  random: Random,
): Choice {
  const { candidates, exclude } = query;
  if (candidates.length === 0) return { kind: "none", reason: "no-candidate" };
  const plan = poolFor(routing, query.service, candidates);
  plan.usedAt = now;
  const probe = dueProbe(plan, exclude, now);
  if (probe !== null) return chosen(probe, "probe", plan.members.length);
  const near = pickOfTwo({ members: plan.local, exclude }, now, random);
  const { self } = plan;
  if (self !== null && isUsable(self, exclude)) {
    const limit = Math.min(SPILL_FROM, (near?.cost ?? Infinity) + HOP_COST);
    if (cost(self, now) <= limit) return chosen(self, "own-server", 1);
  }
  if (near !== null && !maySpill(near.cost, random)) {
    return chosen(near.member, "own-data-centre", plan.local.length);
  }
  const far = pickOfTwo({ members: plan.remote, exclude }, now, random);
  if (near !== null && (far === null || far.cost >= near.cost)) {
    return chosen(near.member, "own-data-centre", plan.local.length);
  }
  if (far === null) return { kind: "none", reason: "all-excluded" };
  const reason = near === null ? "other-data-centre" : "spill-over";
  return chosen(far.member, reason, plan.remote.length);
}

/** The share grows with load, so that other data centres do not fill at once. */
function maySpill(cost: number, random: Random): boolean {
  return cost > SPILL_FROM &&
    random() * (SPILL_ALL - SPILL_FROM) < cost - SPILL_FROM;
}

function dueProbe(
  plan: Pool,
  exclude: ReadonlySet<string>,
  now: number,
): Member | null {
  for (const member of plan.ejected) {
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
