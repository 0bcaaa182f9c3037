import type { Random } from "../core/random.ts";
import type { Candidate } from "./candidate.ts";

// Below this load a server starts a request at once, also if the load is a
// little older than it looks.
const SPILL_LOAD = 0.85;
// What a server elsewhere must be less loaded by: going there costs time and
// bytes between data centres.
const REMOTE_PENALTY = 0.1;

/**
 * Chooses a server of the own data centre while one has room, then the less
 * loaded one anywhere. Of several alike, the better of two at random, so that
 * callers with the same figures don't all turn to one server.
 */
export function chooseCandidate(
  candidates: readonly Candidate[],
  dataCentre: string,
  random: Random,
): Candidate | null {
  const near: Candidate[] = [];
  const far: Candidate[] = [];
  for (const candidate of candidates) {
    (candidate.dataCentre === dataCentre ? near : far).push(candidate);
  }
  const nearest = betterOfTwo(near, random);
  if (nearest !== null && nearest.load < SPILL_LOAD) return nearest;
  const other = betterOfTwo(far, random);
  if (nearest === null || other === null) return nearest ?? other;
  return other.load + REMOTE_PENALTY < nearest.load ? other : nearest;
}

function betterOfTwo(
  candidates: readonly Candidate[],
  random: Random,
): Candidate | null {
  if (candidates.length < 2) return candidates[0] ?? null;
  const first = Math.floor(random() * candidates.length);
  const offset = 1 + Math.floor(random() * (candidates.length - 1));
  const a = candidates[first]!;
  const b = candidates[(first + offset) % candidates.length]!;
  return b.load < a.load ? b : a;
}
