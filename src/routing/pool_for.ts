import type { Candidate } from "./candidate.ts";
import type { Member } from "./member.ts";
import { MAX_EJECTED_SHARE } from "./max_ejected_share.ts";
import { observationOf } from "./observation_of.ts";
import type { Pool } from "./pool.ts";
import type { Routing } from "./routing.ts";
import { subset } from "./subset.ts";

/**
 * Returns the prepared candidates of a service. The list is cached by its
 * owner, so its identity shows whether anything changed.
 */
export function poolFor(
  routing: Routing,
  service: string,
  candidates: readonly Candidate[],
): Pool {
  const old = routing.pools.get(service);
  if (old?.source === candidates) return old;
  if (old !== undefined) detach(old, candidates);
  const plan = build(routing, service, candidates);
  routing.pools.set(service, plan);
  return plan;
}

function build(
  routing: Routing,
  service: string,
  candidates: readonly Candidate[],
): Pool {
  const members = subset(routing, candidates).map((candidate) => {
    const observation = observationOf(routing, candidate.address);
    observation.service = service;
    return { candidate, observation };
  });
  for (const { candidate, observation } of members) {
    const { leaving } = observation;
    if (
      leaving !== null &&
      (leaving.since !== candidate.since ||
        leaving.sequence !== candidate.sequence)
    ) observation.leaving = null;
  }
  const near = ({ candidate }: { candidate: Candidate }) =>
    candidate.dataCentre === routing.dataCentre;
  return {
    source: candidates,
    self: selfOf(routing, service, candidates),
    members,
    local: members.filter(near),
    remote: members.filter((member) => !near(member)),
    ejected: stillEjected(members),
    usedAt: -Infinity,
  };
}

/** The connection subset may leave the daemon itself out. */
function selfOf(
  routing: Routing,
  service: string,
  candidates: readonly Candidate[],
): Member | null {
  const candidate = candidates.find(({ address }) =>
    address === routing.address
  );
  if (candidate === undefined) return null;
  const observation = observationOf(routing, candidate.address);
  observation.service = service;
  return { candidate, observation };
}

/** Keeps the bound on ejections when candidates went away. */
function stillEjected(members: Member[]): Set<Member> {
  const ejected = members
    .filter(({ observation }) => observation.ejectedUntil > 0)
    .sort((one, two) =>
      two.observation.ejectedUntil - one.observation.ejectedUntil
    );
  const most = Math.floor(members.length * MAX_EJECTED_SHARE);
  for (const { observation } of ejected.splice(most)) {
    observation.ejectedUntil = 0;
    observation.probing = false;
  }
  return new Set(ejected);
}

/** A daemon that vanished from the list has changed its entry. */
function detach(plan: Pool, candidates: readonly Candidate[]): void {
  const present = new Set(candidates.map(({ address }) => address));
  for (const { candidate, observation } of plan.members) {
    observation.service = null;
    if (!present.has(candidate.address)) observation.leaving = null;
  }
}
