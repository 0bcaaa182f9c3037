import { hash } from "../core/hash.ts";
import type { Candidate } from "./candidate.ts";
import type { Routing } from "./routing.ts";

/** Most daemons of one service that get connections from this daemon. */
const SUBSET = 32;
/** Of these, kept for other data centres, so that spilling over can start. */
const KEPT_FOR_OTHERS = 8;

/**
 * Returns the candidates that this daemon keeps connections to: all where there
 * are few, otherwise those with the highest rendezvous hash, which spreads
 * daemons evenly and moves few connections when a candidate comes or goes.
 */
export function subset(
  routing: Routing,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  if (candidates.length <= SUBSET) return candidates;
  const own: Candidate[] = [];
  const others: Candidate[] = [];
  for (const candidate of candidates) {
    const near = candidate.dataCentre === routing.dataCentre;
    (near ? own : others).push(candidate);
  }
  const kept = Math.min(KEPT_FOR_OTHERS, others.length);
  const near = best(routing, own, SUBSET - kept);
  return [...near, ...best(routing, others, SUBSET - near.length)];
}

function best(
  routing: Routing,
  candidates: readonly Candidate[],
  count: number,
): Candidate[] {
  return candidates
    .map((candidate) => ({
      candidate,
      score: hash(`${candidate.address} ${routing.address}`),
    }))
    .sort((one, two) =>
      two.score - one.score ||
      (one.candidate.address < two.candidate.address ? -1 : 1)
    )
    .slice(0, count)
    .map(({ candidate }) => candidate);
}
