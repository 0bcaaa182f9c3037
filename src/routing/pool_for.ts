import type { Candidate } from "./candidate.ts";
import type { Member } from "./member.ts";
import { MAX_EJECTED_SHARE } from "./max_ejected_share.ts";
import { observationOf } from "./observation_of.ts";
import type { Pool } from "./pool.ts";
import type { Routing } from "./routing.ts";
import { subset } from "./subset.ts";

/**
 * Returns the pool of a service. The caller caches the list of candidates, so
 * its identity shows whether anything changed.
 */
export function poolFor(
  routing: Routing,
  service: string,
  candidates: readonly Candidate[],
): Pool {
  const previous = routing.pools.get(service);
  if (previous?.source === candidates) return previous;
  if (previous !== undefined) detach(previous, candidates);
  const pool = build(routing, service, candidates);
  routing.pools.set(service, pool);
  return pool;
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
  const isLocal = ({ candidate }: { candidate: Candidate }) =>
    candidate.dataCentre === routing.dataCentre;
  return {
    source: candidates,
    self: selfOf(routing, service, candidates),
    members,
    local: members.filter(isLocal),
    remote: members.filter((member) => !isLocal(member)),
    ejected: stillEjected(members),
    usedAt: -Infinity,
  };
}

/** Returns this daemon as a member: the connection subset may leave it out. */
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

/** Keeps the ejections that end last, up to the maximum share of members. */
function stillEjected(members: Member[]): Set<Member> {
  const ejected = members
    .filter(({ observation }) => observation.ejectedUntil > 0)
    .sort((a, b) => b.observation.ejectedUntil - a.observation.ejectedUntil);
  const maxEjected = Math.floor(members.length * MAX_EJECTED_SHARE);
  for (const { observation } of ejected.splice(maxEjected)) {
    observation.ejectedUntil = 0;
    observation.probing = false;
  }
  return new Set(ejected);
}

/**
 * Releases the observations of a replaced pool. A daemon that is no longer
 * listed has changed its entry, so it isn't known to be leaving any more.
 */
function detach(pool: Pool, candidates: readonly Candidate[]): void {
  const present = new Set(candidates.map(({ address }) => address));
  for (const { candidate, observation } of pool.members) {
    observation.service = null;
    if (!present.has(candidate.address)) observation.leaving = null;
  }
}
