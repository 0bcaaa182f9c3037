import { hash } from "../core/hash.ts";
import type { Candidate } from "./candidate.ts";
import type { Routing } from "./routing.ts";

/** Maximum number of daemons of one service that this daemon connects to. */
const SUBSET_SIZE = 32;
/** Of these, reserved for other data centres, so that load can spill over. */
const RESERVED_FOR_REMOTE = 8;

/**
 * Returns the candidates that this daemon keeps connections to: all if they are
 * few, otherwise those with the highest rendezvous hash, which spreads daemons
 * evenly and moves few connections when a candidate is added or removed.
 */
export function subset(
  routing: Routing,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  if (candidates.length <= SUBSET_SIZE) return candidates;
  const local: Candidate[] = [];
  const remote: Candidate[] = [];
  for (const candidate of candidates) {
    const isLocal = candidate.dataCentre === routing.dataCentre;
    (isLocal ? local : remote).push(candidate);
  }
  const reserved = Math.min(RESERVED_FOR_REMOTE, remote.length);
  const localSubset = highestHashed(routing, local, SUBSET_SIZE - reserved);
  return [
    ...localSubset,
    ...highestHashed(routing, remote, SUBSET_SIZE - localSubset.length),
  ];
}

function highestHashed(
  routing: Routing,
  candidates: readonly Candidate[],
  count: number,
): Candidate[] {
  return candidates
    .map((candidate) => ({
      candidate,
      score: hash(`${candidate.address} ${routing.address}`),
    }))
    .sort((a, b) =>
      b.score - a.score ||
      (a.candidate.address < b.candidate.address ? -1 : 1)
    )
    .slice(0, count)
    .map(({ candidate }) => candidate);
}
